package staging

import (
	"encoding/base64"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// base64Characters are the characters that a header may contain.
const base64Characters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/=\r\n"

// FuzzHeldPieces guards against a header of a peer that ends the process or is taken for other pieces than the peer holds.
func FuzzHeldPieces(f *testing.F) {
	for _, value := range []string{"", "AQ==", "AQ", "////", "not base64", "AQ==\r\n", "=", "\x00"} {
		f.Add(value)
	}
	f.Fuzz(func(t *testing.T, value string) {
		bitmap, err := decodeHeld(http.Header{headerHeld: {value, "duplicate"}})
		foreign := strings.ContainsFunc(value, func(c rune) bool { return !strings.ContainsRune(base64Characters, c) })
		require.False(t, foreign && err == nil, "a header that is not base64 was accepted")
		if err != nil {
			require.Nil(t, bitmap)
			return
		}
		again, err := base64.StdEncoding.DecodeString(base64.StdEncoding.EncodeToString(bitmap))
		require.NoError(t, err)
		require.Equal(t, []byte(bitmap), again)
		for _, index := range []int{-1, 0, 8 * len(bitmap), 1 << 62} {
			_ = bitmap.Has(index)
		}
	})
}
