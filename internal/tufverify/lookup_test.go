package tufverify_test

import (
	"crypto/sha256"
	"encoding/hex"
	"testing"

	"github.com/theupdateframework/go-tuf/v2/metadata"

	"silvercove/internal/keys"
	"silvercove/internal/tufverify"
)

// withDelegations returns a function that changes targets metadata: it sets their delegations to the given roles, in this order.
// The key k signs for every delegated role.
func withDelegations(k *keys.Key, roles ...metadata.DelegatedRole) func(m *metadata.TargetsType) {
	return func(m *metadata.TargetsType) {
		id, _ := k.Public.ID()
		m.Delegations = &metadata.Delegations{Keys: map[string]*metadata.Key{id: k.Public}}
		for _, d := range roles {
			d.KeyIDs, d.Threshold = []string{id}, 1
			m.Delegations.Roles = append(m.Delegations.Roles, d)
		}
	}
}

// withTarget returns a function that adds a target to targets metadata.
func withTarget(path string) func(m *metadata.TargetsType) {
	return func(m *metadata.TargetsType) {
		t := metadata.TargetFile()
		sum := sha256.Sum256([]byte(path))
		t.Length, t.Hashes["sha256"] = 1, sum[:]
		m.Targets[path] = t
	}
}

// hashPrefix returns the first two hexadecimal digits of the digest of a path.
func hashPrefix(path string) string {
	sum := sha256.Sum256([]byte(path))
	return hex.EncodeToString(sum[:1])
}

func TestRepository_FindThroughDelegations(t *testing.T) {
	for _, c := range []struct {
		name    string
		first   metadata.DelegatedRole
		path    string
		foundIn string // role in whose targets metadata Find must find the path; "" if Find must not find it
	}{
		{"first matching delegation", metadata.DelegatedRole{Name: "a", Paths: []string{"app/*"}}, "app/x", "a"},
		{"delegation that does not match is skipped", metadata.DelegatedRole{Name: "a", Paths: []string{"lib/*"}}, "app/x", "b"},
		{"matching delegation without the target is skipped", metadata.DelegatedRole{Name: "a", Paths: []string{"app/*"}}, "app/y", "b"},
		{"terminating delegation ends the search", metadata.DelegatedRole{Name: "a", Paths: []string{"app/*"}, Terminating: true}, "app/y", ""},
		{"hexadecimal prefix of the path's hash", metadata.DelegatedRole{Name: "a",
			PathHashPrefixes: []string{hashPrefix("app/x")}}, "app/x", "a"},
		{"prefix of another hash", metadata.DelegatedRole{Name: "a", PathHashPrefixes: []string{"zz"}}, "app/x", "b"},
		{"asterisk does not match a slash", metadata.DelegatedRole{Name: "a", Paths: []string{"*"}}, "app/x", "b"},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestRepository(t)
			k := b.keys["extra"][0]
			b.checkRefusal(nil, b.repo.UpdateTimestamp(at(0), b.timestamp(1, day, 1, nil)))
			b.checkRefusal(nil, b.repo.UpdateSnapshot(at(0), b.snapshot(1, day, map[string]int64{"targets": 1, "a": 1, "b": 1})))
			b.checkRefusal(nil, b.repo.UpdateTargets(at(0), "targets", b.targets(1, day, withDelegations(k, c.first,
				metadata.DelegatedRole{Name: "b", Paths: []string{"app/*"}}))))
			for range 4 {
				found, need, refusal := b.repo.Find(at(0), c.path)
				switch {
				case need == "a":
					b.checkRefusal(nil, b.repo.UpdateTargets(at(0), "a", b.targets(1, day, withTarget("app/x"), k)))
				case need == "b":
					b.checkRefusal(nil, b.repo.UpdateTargets(at(0), "b", b.targets(1, day, func(m *metadata.TargetsType) {
						withTarget("app/x")(m)
						withTarget("app/y")(m)
					}, k)))
				case c.foundIn == "":
					b.checkRefusal(tufverify.ReasonNotListed, refusal)
					return
				case found != nil && found.Role == c.foundIn:
					return
				default:
					t.Fatalf("Find: target %v, needed role %q, refusal %v", found, need, refusal)
				}
			}
			t.Error("Find still needs a role after 4 calls")
		})
	}
	b := newTestRepository(t)
	b.checkRefusal(nil, b.repo.UpdateTimestamp(at(0), b.timestamp(1, day, 1, nil)))
	b.checkRefusal(nil, b.repo.UpdateSnapshot(at(0), b.snapshot(1, day, map[string]int64{"targets": 1, "a": 1})))
	loop := withDelegations(b.keys["extra"][0], metadata.DelegatedRole{Name: "a", Paths: []string{"*"}})
	b.checkRefusal(nil, b.repo.UpdateTargets(at(0), "targets", b.targets(1, day, loop)))
	b.checkRefusal(nil, b.repo.UpdateTargets(at(0), "a", b.targets(1, day, loop, b.keys["extra"][0])))
	_, _, refusal := b.repo.Find(at(0), "x") // role a delegates every path to itself, and the search must end nevertheless
	b.checkRefusal(tufverify.ReasonNotListed, refusal)
}
