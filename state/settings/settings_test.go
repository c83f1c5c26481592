package settings_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavatrestle/guavatrestle/state/core"
	"github.com/guavatrestle/guavatrestle/state/settings"
)

var (
	hashA = strings.Repeat("a", 64)
	hashB = strings.Repeat("b", 64)
)

func team(name, hash, rest string) settings.Document {
	body := `{"token_hashes":["` + hash + `"],"limits":{"requests_per_second":1,"burst":1,"queue_length":1},"weight":1` + rest + `}`
	return settings.Document{Path: "/teams/" + name, Version: 1, Body: json.RawMessage(body)}
}

func upstream(name, kind string) settings.Document {
	body := `{"kind":"` + kind + `","model":"guava","cold_limit":1,"warm_limit":2,"warmup_completions":0,"min_warm":0}`
	return settings.Document{Path: "/upstreams/" + name, Version: 1, Body: json.RawMessage(body)}
}

func texts(problems settings.Problems) []string {
	var out []string
	for _, p := range problems {
		out = append(out, p.String())
	}
	return out
}

// TestEveryProblemIsReported guards against a check that stops at the first problem or accepts unknown keys.
func TestEveryProblemIsReported(t *testing.T) {
	doc := settings.Document{Path: "/teams/litoral", Body: json.RawMessage(
		`{"token_hashes":["zz"],"Weight":1,"limits":{"requests_per_second":0,"burst":"2","queue_length":1.5},"weight":0,"models":[{"nam":"x","upstream":""}]}`)}
	require.Equal(t, []string{
		"/teams/litoral: Weight: unknown key",
		"/teams/litoral: limits.burst: want an integer, got a string",
		"/teams/litoral: limits.queue_length: want an integer, got 1.5",
		"/teams/litoral: limits.requests_per_second: want more than 0",
		"/teams/litoral: models[0].nam: unknown key",
		"/teams/litoral: models[0].name: is required",
		"/teams/litoral: models[0].upstream: is required",
		"/teams/litoral: token_hashes[0]: want a BLAKE3-256 hash in 64 hexadecimal digits",
		"/teams/litoral: weight: want at least 1",
	}, texts(settings.CheckBody(doc)))
}

// TestRemovalOfTheLastFailureDomainDoesNotAllowAll guards against a team that may suddenly be served everywhere.
func TestRemovalOfTheLastFailureDomainDoesNotAllowAll(t *testing.T) {
	for list, allowed := range map[string]bool{``: true, `,"failure_domains":["a"]`: true, `,"failure_domains":[]`: false} {
		problems := settings.CheckBody(team("litoral", hashA, list))
		require.Equal(t, allowed, len(problems) == 0, "%s: %v", list, problems)
	}
}

// TestDanglingReferencesAreRefused guards against a team that refers to a missing upstream or failure domain, and against the
// removal of one that a team still refers to.
func TestDanglingReferencesAreRefused(t *testing.T) {
	docs := []settings.Document{upstream("guava-llm", "model"), team("ajiboye", hashA, `,"models":[{"name":"guava","upstream":"guava-llm"}]`)}
	edit := team("litoral", hashA, `,"models":[{"name":"g","upstream":"none"}],"services":[{"upstream":"guava-llm","repeatable":true}],"failure_domains":["moon"]`)
	require.Equal(t, []string{
		"/teams/ajiboye: token_hashes: token hash redacted:aaaaaaaa is also in use by another team",
		`/teams/litoral: failure_domains[0]: failure domain "moon" does not exist`,
		`/teams/litoral: models[0].upstream: upstream "none" does not exist`,
		`/teams/litoral: services[0].upstream: upstream "guava-llm" has kind model, want service`,
		"/teams/litoral: token_hashes: token hash redacted:aaaaaaaa is also in use by another team",
	}, texts(settings.CheckEdit(docs, edit)))
	retire := settings.Document{Path: "/upstreams/guava-llm", Version: 2, Tombstone: true}
	require.Equal(t, []string{`/teams/ajiboye: models[0].upstream: upstream "guava-llm" does not exist`}, texts(settings.CheckEdit(docs, retire)))
	broken := append(docs, team("other", hashB, `,"failure_domains":["moon"]`))
	require.Empty(t, settings.CheckEdit(broken, upstream("pedidos", "service")), "a problem of another document blocks the edit")
}

// TestSharedTokenActsForNoTeam guards against a token that authenticates as the wrong team after two concurrent edits have
// assigned its hash to two teams.
func TestSharedTokenActsForNoTeam(t *testing.T) {
	hash := string(core.DigestOf([]byte("secret")))
	tree, err := settings.NewTree([]settings.Document{team("a", hash, ""), team("b", hashA, `,"admin_token_hashes":["`+hash+`"]`)})
	require.NoError(t, err)
	_, ok := tree.TeamByToken("secret")
	require.False(t, ok)
	_, ok = tree.TeamByAdminToken("secret")
	require.False(t, ok)
}

// TestRetiredPathContinuesItsVersions guards against a stale copy of a retired team that replaces a team created later at the
// same path.
func TestRetiredPathContinuesItsVersions(t *testing.T) {
	edit := settings.Edit{Path: "/teams/a", Body: json.RawMessage(`{}`), Nonce: "n1"}
	first, err := settings.Revise(settings.Stored{}, edit)
	require.NoError(t, err)
	retired, err := settings.Revise(first, settings.Edit{Path: "/teams/a", BaseVersion: 1, Tombstone: true, Nonce: "n2"})
	require.NoError(t, err)
	require.Equal(t, uint64(2), retired.Version)
	_, err = settings.Revise(retired, settings.Edit{Path: "/teams/a", BaseVersion: 1})
	require.Error(t, err, "an edit of the retired version is accepted")
	edit.Nonce = "n3"
	recreated, err := settings.Revise(retired, edit)
	require.NoError(t, err)
	require.Equal(t, uint64(3), recreated.Version)
	version, ok := recreated.VersionByNonce("n2")
	require.True(t, ok)
	require.Equal(t, uint64(2), version)
}

// TestHistoryStaysWithinTheObject guards against an object that grows beyond the size limit of the object API.
func TestHistoryStaysWithinTheObject(t *testing.T) {
	var current settings.Stored
	body, err := json.Marshal(map[string]string{"x": strings.Repeat("y", settings.MaxBodyBytes-10)})
	require.NoError(t, err)
	for range 20 {
		current, err = settings.Revise(current, settings.Edit{Path: "/teams/a", BaseVersion: current.Version, Body: body})
		require.NoError(t, err)
	}
	encoded, err := json.Marshal(current)
	require.NoError(t, err)
	require.Less(t, len(encoded), 1<<20)
	require.Len(t, current.History, 10)
	require.Equal(t, uint64(19), current.History[0].Version)
}

// TestHashesAreHiddenAndRestored guards against token hashes in responses, and against their loss when a redacted document is
// edited and sent back.
func TestHashesAreHiddenAndRestored(t *testing.T) {
	doc := team("a", hashA, `,"admin_token_hashes":["`+hashB+`"]`)
	redacted := settings.Redact(doc)
	require.NotContains(t, string(redacted.Body), hashA)
	require.NotContains(t, string(redacted.Body), hashB)
	restored, problems := settings.RestoreHashes(doc.Path, redacted.Body, doc.Body)
	require.Empty(t, problems)
	require.JSONEq(t, string(doc.Body), string(restored))
	_, problems = settings.RestoreHashes(doc.Path, json.RawMessage(`{"token_hashes":["redacted:bbbbbbbb"]}`), doc.Body)
	require.Len(t, problems, 1, "a placeholder for a hash of another list is restored")
	require.False(t, bytes.Contains(settings.RedactBody(json.RawMessage(`{"token_hashes":{"x":"`+hashA+`"}}`)), []byte(hashA)))
}

// TestDiffNamesEachField guards against a conflict report that omits a change.
func TestDiffNamesEachField(t *testing.T) {
	changes := settings.Diff(json.RawMessage(`{"a":1,"b":[{"c":1}],"d":2}`), json.RawMessage(`{"a":2,"b":[{"c":3}],"e":4}`))
	var fields []string
	for _, c := range changes {
		fields = append(fields, c.Field+":"+string(c.From)+">"+string(c.To))
	}
	require.Equal(t, []string{"a:1>2", "b[0].c:1>3", "d:2>", "e:>4"}, fields)
}
