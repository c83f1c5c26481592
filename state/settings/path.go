package settings

import (
	"regexp"
	"strings"

	"github.com/guavatrestle/guavatrestle/state/core"
)

var validName = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// SplitPath splits a document path into its prefix and the name after it.
func SplitPath(path string) (prefix, name string, err error) {
	for _, prefix := range []string{TeamPrefix, FailureDomainPrefix, UpstreamPrefix} {
		name, ok := strings.CutPrefix(path, prefix)
		if ok && validName.MatchString(name) {
			return prefix, name, nil
		}
	}
	return "", "", core.NewError(core.CodeInvalid, path,
		"want /teams/<team>, /failure-domains/<name> or /upstreams/<name> with a lower-case DNS label")
}
