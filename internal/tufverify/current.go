package tufverify

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"hash"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/theupdateframework/go-tuf/v2/metadata"
)

// File is the name of a metadata file: its role, and its version where the name has one, else 0.
type File struct {
	Role    string
	Version int64
}

// ParseFile reads the name of a metadata file (specification 3.1.2 and 7.3): ROLE.json, or N.ROLE.json.
func ParseFile(name string) (f File, ok bool) {
	name, ok = strings.CutSuffix(name, ".json")
	if !ok || name == "" || len(name) > 256 {
		return f, false
	}
	if number, rest, cut := strings.Cut(name, "."); cut && strings.Trim(number, "0123456789") == "" && number != "" {
		n, err := strconv.ParseInt(number, 10, 62)
		if err != nil || n < 1 || number[0] == '0' || rest == "" {
			return f, false
		}
		f.Version, name = n, rest
	}
	role, err := url.PathUnescape(name)
	if err != nil || strings.ContainsAny(role, "/\\\x00") {
		return f, false
	}
	f.Role = role
	return f, true
}

// String is the name that a repository has the file under.
func (f File) String() string {
	name := url.PathEscape(f.Role) + ".json"
	if f.Version > 0 {
		name = strconv.FormatInt(f.Version, 10) + "." + name
	}
	return name
}

// Kind is the one of the four top-level roles whose rules a file follows.
func (f File) Kind() string {
	if slices.Contains(metadata.TOP_LEVEL_ROLE_NAMES[:], f.Role) {
		return f.Role
	}
	return metadata.TARGETS
}

// Current gives a file that is held, if it may be passed on now: everything that it hangs on is held, fits
// together and has not expired, and the version asked for is the one that counts. Roots of the chain
// are passed on whatever their age, as clients walk them (5.3.4 to 5.3.9); the newest must not have expired.
func (r *Repository) Current(now Tick, f File) ([]byte, *RefusalError) {
	r.advance(now)
	switch f.Role {
	case metadata.ROOT:
		if data := r.roots[f.Version]; data != nil && f.Version < r.root.version {
			return data, nil
		}
		if f.Version > r.root.version {
			return nil, r.refuse(ReasonMissing, f.Role, "version %d is not there yet", f.Version)
		}
		if refusal := r.checkRoot(f.Role); refusal != nil {
			return nil, refusal
		}
		if f.Version != 0 && f.Version != r.root.version {
			return nil, r.refuse(ReasonMissing, f.Role, "version %d is before the pinned one", f.Version)
		}
		return r.root.raw, nil
	case metadata.TIMESTAMP:
		// Not before all that it names is held: clients would find no snapshot that fits.
		if f.Version != 0 {
			return nil, r.refuse(ReasonUnnamed, f.Role, "timestamps have no versioned name")
		}
		if refusal := r.checkComplete(); refusal != nil {
			return nil, refusal
		}
		return r.timestamp.raw, nil
	case metadata.SNAPSHOT:
		if refusal := r.checkSnapshot(f.Role); refusal != nil {
			return nil, refusal
		}
		return r.checkVersion(f, r.snapshot.raw, r.snapshot.version)
	}
	if refusal := r.checkSnapshot(f.Role); refusal != nil {
		return nil, refusal
	}
	t := r.targets[f.Role]
	if t == nil && r.snapshot.Signed.Meta[f.Role+".json"] == nil {
		return nil, r.refuse(ReasonUnnamed, f.Role, "the snapshot does not name it")
	}
	if t == nil {
		return nil, r.refuse(ReasonMissing, f.Role, "not held")
	}
	if refusal := r.checkDelegationChain(f.Role); refusal != nil {
		return nil, refusal
	}
	return r.checkVersion(f, t.raw, t.version)
}

// checkComplete: timestamp, snapshot and top-level targets are held, fit together and have not expired.
func (r *Repository) checkComplete() *RefusalError {
	if refusal := r.checkSnapshot(metadata.TARGETS); refusal != nil {
		return refusal
	}
	if r.targets[metadata.TARGETS] == nil {
		return r.refuse(ReasonMissing, metadata.TARGETS, "not held")
	}
	return r.checkDelegationChain(metadata.TARGETS)
}

// checkDelegationChain: neither a role of targets nor any that it was delegated by has expired.
func (r *Repository) checkDelegationChain(role string) *RefusalError {
	for name := role; name != metadata.ROOT; name = r.targets[name].delegator {
		t := r.targets[name]
		if t == nil {
			return r.refuse(ReasonMissing, role, "%s is not held", name)
		}
		if r.now >= t.expires {
			return r.refuseExpired(role, t.expires, "%s %d expired at %s", name, t.version, t.expires.Time())
		}
	}
	return nil
}

// checkVersion holds a versioned name against the version that counts, and an unversioned one against the
// repository's way of naming.
func (r *Repository) checkVersion(f File, data []byte, version int64) ([]byte, *RefusalError) {
	switch {
	case f.Version == version:
	case f.Version > version:
		return nil, r.refuse(ReasonMissing, f.Role, "version %d is not there yet", f.Version)
	case f.Version > 0:
		return nil, r.refuse(ReasonOlderVersion, f.Role, "version %d, %d counts", f.Version, version)
	case r.root.Signed.ConsistentSnapshot:
		return nil, r.refuse(ReasonMissing, f.Role, "the repository has consistent snapshots: ask for a version")
	}
	return data, nil
}

// NextFile is the next file that is needed for a whole set, with the most bytes that it may have and
// whether it must be asked for again, as what is held will not do. Without any: ok is false.
func (r *Repository) NextFile(now Tick) (f File, most int, ok bool) {
	r.advance(now)
	versioned := func(role string, v int64) File {
		if r.root.Signed.ConsistentSnapshot {
			return File{role, v}
		}
		return File{Role: role}
	}
	seen, _ := r.store.Recorded(r.storeKey(metadata.ROOT))
	switch {
	case r.root.version < seen || r.now >= r.root.expires:
		return File{metadata.ROOT, r.NextRootVersion()}, MaxRootSize, true
	case r.timestamp == nil || r.now >= r.timestamp.expires:
		return File{Role: metadata.TIMESTAMP}, MaxTimestampSize, true
	case r.snapshot == nil || r.snapshot.version != r.timestamp.Signed.Meta["snapshot.json"].Version:
		m := r.timestamp.Signed.Meta["snapshot.json"]
		return versioned(metadata.SNAPSHOT, m.Version), maxLength(m, MaxSnapshotSize), true
	case r.targets[metadata.TARGETS] == nil:
		m := r.snapshot.Signed.Meta["targets.json"]
		return versioned(metadata.TARGETS, m.Version), maxLength(m, MaxTargetsSize), true
	}
	return f, 0, false
}

// TargetsFile is the file of a role of targets as the snapshot names it.
func (r *Repository) TargetsFile(now Tick, role string) (f File, most int, refusal *RefusalError) {
	r.advance(now)
	if refusal = r.checkSnapshot(role); refusal != nil {
		return f, 0, refusal
	}
	m := r.snapshot.Signed.Meta[role+".json"]
	if m == nil {
		return f, 0, r.refuse(ReasonUnnamed, role, "the snapshot does not name it")
	}
	f = File{Role: role}
	if r.root.Signed.ConsistentSnapshot {
		f.Version = m.Version
	}
	return f, maxLength(m, MaxTargetsSize), nil
}

// maxLength is the length that a parent gives for a file, within what is allowed at all.
func maxLength(m *metadata.MetaFiles, most int) int {
	if m.Length > 0 && m.Length < int64(most) {
		return int(m.Length)
	}
	return most
}

// MissingRoles are roles of targets that the snapshot names and that are not held, by name: what delegates to
// a role may have to be had first.
func (r *Repository) MissingRoles() (roles []string) {
	if r.snapshot == nil {
		return nil
	}
	for name := range r.snapshot.Signed.Meta {
		if role := strings.TrimSuffix(name, ".json"); r.targets[role] == nil {
			roles = append(roles, role)
		}
	}
	slices.Sort(roles)
	return roles[:min(len(roles), maxVisitedRoles)]
}

// Version tells the version of a role that is held, 0 for none.
func (r *Repository) Version(role string) int64 {
	switch {
	case role == metadata.ROOT:
		return r.root.version
	case role == metadata.TIMESTAMP && r.timestamp != nil:
		return r.timestamp.version
	case role == metadata.SNAPSHOT && r.snapshot != nil:
		return r.snapshot.version
	case r.targets[role] != nil:
		return r.targets[role].version
	}
	return 0
}

// Expires tells the earliest moment at which any of what a whole set hangs on expires.
func (r *Repository) Expires() Tick {
	at := r.root.expires
	if r.timestamp != nil {
		at = min(at, r.timestamp.expires)
	}
	if r.snapshot != nil {
		at = min(at, r.snapshot.expires)
	}
	if t := r.targets[metadata.TARGETS]; t != nil {
		at = min(at, t.expires)
	}
	return at
}

// Target is one file that a repository vouches for.
type Target struct {
	Path   string
	Length int64
	Sum    Digest
	Role   string // that vouches for it
	Custom Custom
}

// Custom is what our tools add to a target. Others' fields are left alone.
type Custom struct {
	Build  uint16            `json:"build,omitempty"`
	ECUs   map[string]string `json:"ecus,omitempty"`   // of a Director: servers and their kinds of hardware
	Kinds  []string          `json:"kinds,omitempty"`  // of an Image repository: kinds of hardware that it fits
	Piece  int64             `json:"piece,omitempty"`  // bytes that each of the sums is of
	Pieces []string          `json:"pieces,omitempty"` // their SHA-256, in hexadecimal
}

// Find looks a target up through the delegations: in their order, depth first, ended by a terminating
// one (5.6.7). Where a role on the way is not held, need names it: it is to be fetched, and the search
// made again.
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
		h := r.targets[role]
		if h == nil {
			if r.snapshot.Signed.Meta[role+".json"] == nil {
				return nil, "", r.refuse(ReasonUnnamed, role, "the snapshot does not name it")
			}
			return nil, role, nil
		}
		if refusal = r.checkDelegationChain(role); refusal != nil {
			return nil, "", refusal
		}
		if is := h.Signed.Targets[path]; is != nil {
			return newTarget(path, role, is), "", nil
		}
		if h.Signed.Delegations == nil {
			continue
		}
		var on []string
		for _, to := range matchingRoles(h.Signed.Delegations, path) {
			on = append(on, to.Name)
			if to.Terminating {
				stack = nil // nothing else may vouch for it
				break
			}
		}
		slices.Reverse(on)
		stack = append(stack, on...)
	}
	return nil, "", r.refuse(ReasonUnnamed, metadata.TARGETS, "nothing vouches for %s", path)
}

// matchingRoles are the roles that delegations name for a path, in their order. Prefixes of the path's hash are
// hexadecimal (specification 4.5); the library compares them with Base64, so that is not relied on.
func matchingRoles(d *metadata.Delegations, path string) (roles []metadata.RoleResult) {
	if d.SuccinctRoles != nil {
		return d.SuccinctRoles.GetRolesForTarget(path)
	}
	sum := sha256.Sum256([]byte(path))
	digest := hex.EncodeToString(sum[:])
	for _, to := range d.Roles {
		fits := false
		if len(to.Paths) > 0 {
			fits, _ = to.IsDelegatedPath(path)
		}
		for _, prefix := range to.PathHashPrefixes {
			fits = fits || len(to.Paths) == 0 && strings.HasPrefix(digest, prefix)
		}
		if fits {
			roles = append(roles, metadata.RoleResult{Name: to.Name, Terminating: to.Terminating})
		}
	}
	return roles
}

func newTarget(path, role string, is *metadata.TargetFiles) *Target {
	t := &Target{Path: path, Length: is.Length, Role: role}
	copy(t.Sum[:], is.Hashes["sha256"])
	if is.Custom != nil {
		_ = json.Unmarshal(*is.Custom, &t.Custom) // another's custom field leaves it empty
	}
	return t
}

// ParseStoredPath gives the path of a target as targets name it, and the sum that its stored name asks for. A name
// without one is plain itself.
func (r *Repository) ParseStoredPath(stored string) (path string, sum Digest, hashed bool) {
	dir, name := "", stored
	if at := strings.LastIndexByte(stored, '/'); at >= 0 {
		dir, name = stored[:at+1], stored[at+1:]
	}
	digits, rest, cut := strings.Cut(name, ".")
	text, err := hex.DecodeString(digits)
	if !r.root.Signed.ConsistentSnapshot || !cut || rest == "" || err != nil || len(text) != len(sum) {
		return stored, sum, false
	}
	copy(sum[:], text)
	return dir + rest, sum, true
}

// Assigned are all targets that the top-level role of a Director names, by path.
func (r *Repository) Assigned(now Tick) (all []*Target, refusal *RefusalError) {
	r.advance(now)
	if refusal = r.checkComplete(); refusal != nil {
		return nil, refusal
	}
	for path, is := range r.targets[metadata.TARGETS].Signed.Targets {
		all = append(all, newTarget(path, metadata.TARGETS, is))
	}
	slices.SortFunc(all, func(a, b *Target) int { return strings.Compare(a.Path, b.Path) })
	return all, nil
}

// StoredName is the file name of a target in a repository with consistent snapshots (specification 3.1.2): HASH.NAME.
func (r *Repository) StoredName(t *Target) string {
	if !r.root.Signed.ConsistentSnapshot {
		return t.Path
	}
	dir, name := "", t.Path
	if at := strings.LastIndexByte(t.Path, '/'); at >= 0 {
		dir, name = t.Path[:at+1], t.Path[at+1:]
	}
	return dir + hex.EncodeToString(t.Sum[:]) + "." + name
}

// TargetReader verifies the bytes of one target as they come, from any number of mirrors. Where the target
// has sums of pieces, a piece is passed on once it is whole and right; else all but the last bytes are
// passed on as they come and the last ones once the whole is right, so that a client never gets
// as many bytes as it was told of something that is not right.
type TargetReader struct {
	target       *Target
	repo         *Repository
	digest       hash.Hash // of what was passed on; nil where it can't be had
	buffered     []byte    // come, but not passed on yet
	passed       int64     // passed on
	holdBack     int64
	hasPieces    bool
	singleMirror bool // a piece may not be put together from several mirrors
	corrupt      bool
}

// holdBackSize are the bytes that are kept back to the end where there are no sums of pieces.
const holdBackSize = 16 << 10

// maxPieceSize bounds what is kept of a piece until it is whole.
const maxPieceSize = 4 << 20

// Open begins the body of a target.
func (r *Repository) Open(t *Target) *TargetReader {
	b := &TargetReader{target: t, repo: r, digest: sha256.New(), holdBack: min(holdBackSize, t.Length)}
	if p := t.Custom.Piece; p > 0 && p <= maxPieceSize && int64(len(t.Custom.Pieces)) == (t.Length+p-1)/p {
		b.hasPieces, b.holdBack = true, p
	}
	return b
}

// StartAt begins at a later byte, for a client that has the ones before: at the start of the piece that has
// it. Without sums of pieces it can't, as only the whole tells what is right.
func (b *TargetReader) StartAt(at int64) (start int64, ok bool) {
	if !b.hasPieces || at < 0 || at >= b.target.Length {
		return 0, at == 0
	}
	if b.passed = at / b.holdBack * b.holdBack; b.passed > 0 {
		b.digest = nil // the whole can't be summed up
	}
	return b.passed, true
}

// NextOffset is where the next byte is to come from: a mirror is asked from here on.
func (b *TargetReader) NextOffset() int64 { return b.passed + int64(len(b.buffered)) }

// Remaining is how many bytes are wanted yet.
func (b *TargetReader) Remaining() int64 { return b.target.Length - b.NextOffset() }

// Resume goes on at another mirror. What was kept of a piece stays, as it may be right; once a piece that was
// put together so was wrong, each must come from one mirror alone.
func (b *TargetReader) Resume() {
	if b.hasPieces && b.singleMirror {
		b.buffered = b.buffered[:0]
	}
}

// Write takes bytes and passes on what may be. A Refusal means that the mirror is wrong; where sums of
// pieces are there, another can be asked from Next on, else the body is spoilt.
func (b *TargetReader) Write(p []byte, pass func([]byte) error) error {
	if int64(len(p)) > b.Remaining() {
		if b.corrupt = !b.hasPieces; b.hasPieces {
			b.buffered = b.buffered[:0]
		}
		return b.repo.refuse(ReasonTooLarge, b.target.Path, "more than %d bytes", b.target.Length)
	}
	for len(p) > 0 {
		n := min(int64(len(p)), b.holdBack-int64(len(b.buffered)))
		if n == 0 { // only without pieces: the oldest goes on
			n = min(int64(len(p)), b.holdBack)
			if err := b.forward(b.buffered[:n], pass); err != nil {
				return err
			}
			b.buffered = append(b.buffered[:0], b.buffered[n:]...)
		}
		b.buffered = append(b.buffered, p[:n]...)
		p = p[n:]
		if b.hasPieces && (int64(len(b.buffered)) == b.holdBack || b.Remaining() == 0) {
			if err := b.verifyPiece(pass); err != nil {
				return err
			}
		}
	}
	if b.Remaining() > 0 || b.hasPieces {
		return nil
	}
	if err := b.verifyWhole(); err != nil {
		return err
	}
	err := b.forward(b.buffered, pass)
	b.buffered = nil
	return err
}

// verifyPiece verifies the piece that is whole now.
func (b *TargetReader) verifyPiece(pass func([]byte) error) error {
	sum := sha256.Sum256(b.buffered)
	if hex.EncodeToString(sum[:]) != b.target.Custom.Pieces[b.passed/b.holdBack] {
		b.buffered, b.singleMirror = b.buffered[:0], true
		return b.repo.refuse(ReasonHashMismatch, b.target.Path, "the piece from byte %d on has another SHA-256", b.passed)
	}
	if b.Remaining() == 0 && b.digest != nil { // pieces are only as good as the whole
		if err := b.verifyWhole(); err != nil {
			return err
		}
	}
	err := b.forward(b.buffered, pass)
	b.buffered = b.buffered[:0]
	return err
}

// verifyWhole holds the sum of everything against the target's, before its last bytes are passed on.
func (b *TargetReader) verifyWhole() error {
	b.digest.Write(b.buffered)
	if Digest(b.digest.Sum(nil)) != b.target.Sum {
		b.corrupt = true
		return b.repo.refuse(ReasonHashMismatch, b.target.Path, "its SHA-256 is another")
	}
	b.digest = nil
	return nil
}

func (b *TargetReader) forward(p []byte, to func([]byte) error) error {
	if b.digest != nil {
		b.digest.Write(p)
	}
	b.passed += int64(len(p))
	return to(p)
}

// Done tells that every byte was passed on.
func (b *TargetReader) Done() bool { return b.passed == b.target.Length && len(b.buffered) == 0 }

// Corrupt tells that what was passed on cannot become right any more.
func (b *TargetReader) Corrupt() bool { return b.corrupt }
