package cli

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strings"

	"github.com/spf13/cobra"
	"github.com/zeebo/blake3"

	"github.com/guavatrestle/guavatrestle/state/core"
)

// defaultChunkBytes is the default of --chunk-size.
const defaultChunkBytes = 4 << 20

// manifestResult is the output of the manifest command.
type manifestResult struct {
	Digest   core.Digest   `json:"digest"`
	Size     int64         `json:"size"`
	Manifest core.Manifest `json:"manifest"`
}

func (a *app) manifestCommand() *cobra.Command {
	var model, version, out string
	var chunkBytes int64
	cmd := &cobra.Command{
		Use:   "manifest FILE",
		Short: "Compute the manifest of a weight file and its version digest",
		Example: `  guavatrestle manifest guava-v2.bin --model guava --version v2 --out manifest.json
  guavatrestle manifest guava-v2.bin --model guava --version v2 --json`,
		Args: cobra.ExactArgs(1),
		RunE: classifyErrors(func(_ *cobra.Command, args []string) error {
			if chunkBytes <= 0 {
				return inputError{errors.New("--chunk-size must be positive")}
			}
			result, err := buildManifest(args[0], core.Model(model), version, chunkBytes)
			if err != nil {
				return inputError{err}
			}
			if err := writeManifest(out, result.Manifest); err != nil {
				return err
			}
			return a.print(result, func(w io.Writer) {
				fmt.Fprintf(w, "digest\t%s\nsize\t%d\nchunks\t%d\n", result.Digest, result.Size, len(result.Manifest.Chunks))
			})
		}),
	}
	cmd.Flags().StringVar(&model, "model", "", "name of the model")
	cmd.Flags().StringVar(&version, "version", "", "name of the version")
	cmd.Flags().StringVar(&out, "out", "", "file to write the canonical manifest to")
	cmd.Flags().Int64Var(&chunkBytes, "chunk-size", defaultChunkBytes, "bytes per chunk")
	_ = cmd.MarkFlagRequired("model")
	_ = cmd.MarkFlagRequired("version")
	return cmd
}

// buildManifest computes the manifest of a file. It reads one chunk at a time, because weights may not fit in memory.
func buildManifest(name string, model core.Model, version string, chunkBytes int64) (manifestResult, error) {
	file, err := os.Open(name)
	if err != nil {
		return manifestResult{}, err
	}
	defer func() { _ = file.Close() }()
	m := core.Manifest{Model: model, Version: version, ChunkSize: chunkBytes}
	contentHash := blake3.New()
	buffer := make([]byte, chunkBytes)
	for {
		n, err := io.ReadFull(file, buffer)
		if n > 0 {
			m.Size += int64(n)
			m.Chunks = append(m.Chunks, core.DigestOf(buffer[:n]))
			_, _ = contentHash.Write(buffer[:n])
		}
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			break
		}
		if err != nil {
			return manifestResult{}, err
		}
	}
	m.Content = core.DigestFromSum(contentHash.Sum(nil))
	digest, err := m.Digest()
	return manifestResult{Digest: digest, Size: m.Size, Manifest: m}, err
}

func writeManifest(name string, m core.Manifest) error {
	if name == "" {
		return nil
	}
	body, err := m.Canonical()
	if err != nil {
		return err
	}
	return os.WriteFile(name, body, 0o644)
}

func (a *app) tokenCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "token",
		Short:   "Work with bearer tokens",
		Example: "  printf %s \"$TOKEN\" | guavatrestle token hash",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(&cobra.Command{
		Use:     "hash",
		Short:   "Print the hash of the token on standard input, for use in settings",
		Example: "  printf %s \"$TOKEN\" | guavatrestle token hash",
		Args:    cobra.NoArgs,
		RunE: classifyErrors(func(*cobra.Command, []string) error {
			line, err := bufio.NewReader(a.In).ReadString('\n')
			if err != nil && !errors.Is(err, io.EOF) {
				return err
			}
			token := strings.TrimRight(line, "\r\n")
			if token == "" {
				return inputError{errors.New("no token on standard input")}
			}
			hash := core.DigestOf([]byte(token))
			return a.print(map[string]core.Digest{"hash": hash}, func(w io.Writer) { fmt.Fprintln(w, hash) })
		}),
	})
	return cmd
}

// versionInfo identifies the build.
type versionInfo struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Go       string `json:"go"`
}

func (a *app) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version of this command",
		Example: "  guavatrestle version --json",
		Args:    cobra.NoArgs,
		RunE: classifyErrors(func(*cobra.Command, []string) error {
			info := buildInfo()
			return a.print(info, func(w io.Writer) { fmt.Fprintf(w, "guavatrestle %s %s %s\n", info.Version, info.Revision, info.Go) })
		}),
	}
}

func buildInfo() versionInfo {
	build, ok := debug.ReadBuildInfo()
	if !ok {
		return versionInfo{Version: "unknown"}
	}
	info := versionInfo{Version: build.Main.Version, Go: build.GoVersion}
	for _, setting := range build.Settings {
		if setting.Key == "vcs.revision" {
			info.Revision = setting.Value
		}
	}
	return info
}
