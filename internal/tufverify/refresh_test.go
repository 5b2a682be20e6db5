package tufverify_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/theupdateframework/go-tuf/v2/metadata"

	"silvercove/internal/tufverify"
)

func TestRepository_RefreshAndLookUp(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(files map[string][]byte, b *testRepository)
		want   any // expected Reason of the refusal, expected part of the error text, or nil for no error
	}{
		{"complete", func(map[string][]byte, *testRepository) {}, nil},
		{"no timestamp", func(f map[string][]byte, _ *testRepository) { delete(f, "timestamp.json") }, "not found"},
		{"no delegated role", func(f map[string][]byte, _ *testRepository) { delete(f, "1.a.json") }, "not found"},
		{"root skips a version", func(f map[string][]byte, b *testRepository) { f["3.root.json"] = b.root(5, day) }, tufverify.ReasonVersionMismatch},
		{"targets signed by another key", func(f map[string][]byte, b *testRepository) {
			f["1.targets.json"] = b.targets(1, day, nil, b.keys["extra"]...)
		}, tufverify.ReasonUnknownKey},
		{"newest root has expired", func(f map[string][]byte, b *testRepository) { f["3.root.json"] = b.root(3, 0) }, tufverify.ReasonExpired},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestRepository(t)
			k := b.keys["extra"][0]
			files := map[string][]byte{"2.root.json": b.root(2, 365*day), "timestamp.json": b.timestamp(1, day, 1, nil),
				"1.snapshot.json": b.snapshot(1, day, map[string]int64{"targets": 1, "a": 1}),
				"1.targets.json":  b.targets(1, day, withDelegations(k, metadata.DelegatedRole{Name: "a", Paths: []string{"app/*"}})),
				"1.a.json":        b.targets(1, day, withTarget("app/x"), k)}
			c.change(files, b)
			get := func(f tufverify.File) ([]byte, error) { return files[f.String()], nil }
			err := b.repo.Refresh(at(0), get)
			if err == nil {
				_, err = b.repo.LookUp(at(0), "app/x", get)
			}
			var refusal *tufverify.RefusalError
			switch want := c.want.(type) {
			case nil:
				if err != nil || b.repo.Version("root") != 2 {
					t.Errorf("root %d is held, error %v", b.repo.Version("root"), err)
				}
			case string:
				if err == nil || !strings.Contains(err.Error(), want) {
					t.Errorf("unexpected error: %v", err)
				}
			case tufverify.Reason:
				if !errors.As(err, &refusal) || refusal.Reason != want {
					t.Errorf("unexpected error: %v", err)
				}
			}
			lost := errors.New("lost")
			if err := b.repo.Refresh(at(0), func(tufverify.File) ([]byte, error) { return nil, lost }); !errors.Is(err, lost) {
				t.Errorf("Refresh does not return the error of get: %v", err)
			}
		})
	}
}
