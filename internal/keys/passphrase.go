package keys

import (
	"bytes"
	"fmt"
	"os"
)

// PassphraseFrom reads the pass phrase from the file that a variable of the environment names, or
// from the variable itself.
func PassphraseFrom(env func(string) string) func() ([]byte, error) {
	return func() ([]byte, error) {
		if path := env("COVE_PASSPHRASE_FILE"); path != "" {
			info, err := os.Stat(path)
			if err != nil {
				return nil, err
			}
			if info.Mode().Perm()&0o077 != 0 {
				return nil, fmt.Errorf("%s: %w", path, ErrMode)
			}
			text, err := os.ReadFile(path)
			return bytes.TrimRight(text, "\r\n"), err
		}
		return []byte(env("COVE_PASSPHRASE")), nil
	}
}
