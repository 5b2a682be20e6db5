package keys

import (
	"bytes"
	"fmt"
	"os"
)

// PassphraseFrom returns a function that reads the passphrase. If the environment variable COVE_PASSPHRASE_FILE is set, the
// passphrase is read from the file that it names. If it is not set, the passphrase is the value of COVE_PASSPHRASE. A file that
// other users can read is refused with ErrInsecureMode. env returns the value of an environment variable.
func PassphraseFrom(env func(string) string) func() ([]byte, error) {
	return func() ([]byte, error) {
		if path := env("COVE_PASSPHRASE_FILE"); path != "" {
			info, err := os.Stat(path)
			if err != nil {
				return nil, err
			}
			if info.Mode().Perm()&0o077 != 0 {
				return nil, fmt.Errorf("%s: %w", path, ErrInsecureMode)
			}
			text, err := os.ReadFile(path)
			return bytes.TrimRight(text, "\r\n"), err
		}
		return []byte(env("COVE_PASSPHRASE")), nil
	}
}
