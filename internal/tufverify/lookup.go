package tufverify

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// Find searches the held targets metadata for a target. It follows delegations in their order, depth first, until a terminating
// delegation (section 5.6.7). If the search reaches a role whose metadata are not held, need is the name of that role. The
// caller then fetches the metadata of that role and calls Find again.
func (r *Repository) Find(now Tick, path string) (t *Target, need string, refusal *RefusalError) {
	r.advance(now)
	if refusal = r.checkComplete(); refusal != nil {
		return nil, "", refusal
	}
	visited := map[string]bool{}
	stack := []string{metadata.TARGETS}
	for len(stack) > 0 && len(visited) < maxVisitedRoles {
		role := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		if visited[role] {
			continue
		}
		visited[role] = true
		held := r.targets[role]
		if held == nil {
			if r.snapshot.Signed.Meta[role+".json"] == nil {
				return nil, "", r.refuse(ReasonNotListed, role, "not listed in the snapshot")
			}
			return nil, role, nil
		}
		if refusal = r.checkDelegationChain(role); refusal != nil {
			return nil, "", refusal
		}
		if file := held.Signed.Targets[path]; file != nil {
			return newTarget(path, role, file), "", nil
		}
		if held.Signed.Delegations == nil {
			continue
		}
		var next []string
		for _, to := range matchingRoles(held.Signed.Delegations, path) {
			next = append(next, to.Name)
			if to.Terminating {
				stack = nil // a terminating delegation drops the roles left on the stack
				break
			}
		}
		slices.Reverse(next)
		stack = append(stack, next...)
	}
	return nil, "", r.refuse(ReasonNotListed, metadata.TARGETS, "no targets metadata list %s", path)
}

// matchingRoles returns the roles to which a path is delegated, in the order of the delegations. A delegation can list
// hexadecimal prefixes of the digests of paths (section 4.5). matchingRoles compares these prefixes itself, because go-tuf
// compares them with the digest in Base64.
func matchingRoles(d *metadata.Delegations, path string) (roles []metadata.RoleResult) {
	if d.SuccinctRoles != nil {
		return d.SuccinctRoles.GetRolesForTarget(path)
	}
	sum := sha256.Sum256([]byte(path))
	digest := hex.EncodeToString(sum[:])
	for _, to := range d.Roles {
		matches := false
		if len(to.Paths) > 0 {
			matches, _ = to.IsDelegatedPath(path)
		}
		for _, prefix := range to.PathHashPrefixes {
			matches = matches || len(to.Paths) == 0 && strings.HasPrefix(digest, prefix)
		}
		if matches {
			roles = append(roles, metadata.RoleResult{Name: to.Name, Terminating: to.Terminating})
		}
	}
	return roles
}
