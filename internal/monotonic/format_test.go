package monotonic

import (
	"encoding/base64"
	"errors"
	"os"
	"path/filepath"
	"testing"
)

func TestOpen_NewerFormat(t *testing.T) {
	path := filepath.Join(t.TempDir(), "versions")
	later := format
	later.Version = 9
	must(t, os.WriteFile(path, later.Header(), 0o600))
	if _, err := Open([]string{path}, 10, discardLogs); !errors.Is(err, ErrNewerVersion) {
		t.Errorf("error %v, want ErrNewerVersion", err)
	}
}

// TestFormat_CompatibleWithEarlierVersion checks that records are encoded to the same bytes as by an earlier version of
// the program, and that a store can read these bytes.
func TestFormat_CompatibleWithEarlierVersion(t *testing.T) {
	const wrote = "Y292ZWZsb28BAAAAxi20Vi4AAADYLkOtXOCwMAEHAAAAAAAAAMqXgRLKG73K+sIxs5oj3E2nhu/4FHxOcrmAd4Wv7ki7a2V5L2EJAAAAmYJmY7/Z" +
		"m8sC0gQAAAAAAAAuAAAA2C5DrXuBUkwBCAAAAAAAAAA+I+gWADlZSjOJT2Vk4bE0i716AIjULErLc+6u1ZwAnWtleS9h"
	b := appendEntry(format.Header(), "key/a", entry{7, sum("a")})
	b = appendTime(b, 1234)
	b = appendEntry(b, "key/a", entry{8, sum("b")})
	if base64.StdEncoding.EncodeToString(b) != wrote {
		t.Errorf("the encoding has changed: %x", b)
	}
	path := filepath.Join(t.TempDir(), "versions")
	must(t, os.WriteFile(path, b, 0o600))
	store := openStore(t, path)
	if v, s := store.Recorded("key/a"); v != 8 || s != sum("b") || store.TrustedTime() != 1234 || store.TruncatedBytes != 0 {
		t.Errorf("version %d, time %d", v, store.TrustedTime())
	}
}

func FuzzDecode(f *testing.F) {
	content := encodedStore(f, 3)
	f.Add(content)
	f.Add([]byte(format.Magic))
	f.Fuzz(func(t *testing.T, content []byte) {
		decoded, n, err := decode(content)
		for key := range decoded.entries {
			if key == "" || len(key) > maxKeySize {
				t.Errorf("decoded a key of %d bytes", len(key))
			}
		}
		if n > len(content) || err == nil && n < len(content) && len(content)-n > format.RecordHeaderSize()+entrySize+maxKeySize {
			t.Errorf("%d of %d bytes are complete, error %v", n, len(content), err)
		}
	})
}
