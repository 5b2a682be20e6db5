// Package tufrepo owns a TUF repository on disk as its keepers work on it: what is published, what is staged
// and waits for signatures, and the steps between. Each version number is reserved in a floor of
// the repository's own before anything signed with it can be seen, so that a number is never given to
// two contents, also when the program is killed between signing and publishing.
//
// The folder holds metadata/ and targets/, which are served as they are, staged/, and issued.floor.
//
// Kind: state
package tufrepo

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"maps"
	"os"
	"path"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/google/renameio/v2"
	"github.com/theupdateframework/go-tuf/v2/metadata"

	"silvercove/internal/keys"
	"silvercove/internal/monotonic"
	"silvercove/internal/tufverify"
)

// Errors of a repository.
var (
	ErrNotInitialized = errors.New("no repository here: run tuf init first")
	ErrExists         = errors.New("a repository is here already")
	ErrUnsigned       = errors.New("not signed by as many keys as its threshold asks for")
	ErrNotStaged      = errors.New("nothing of this role is staged")
	ErrKey            = errors.New("the role does not know this key")
)

// PieceSize is how many bytes of a target each sum is of that is published beside the whole's.
const PieceSize = 256 << 10

// Lifetimes is how long each role's metadata last from their signing.
type Lifetimes struct{ Root, Targets, Snapshot, Timestamp time.Duration }

// Lives are what TUF's own repositories commonly use: long for offline keys, short for online ones.
var Lives = Lifetimes{365 * 24 * time.Hour, 90 * 24 * time.Hour, 7 * 24 * time.Hour, 24 * time.Hour}

// Repo is one repository that is open for work.
type Repo struct {
	dir         string
	versions    *monotonic.Store
	Life        Lifetimes
	Now         func() time.Time
	CrashBefore func(step string) bool // in tests: the program dies before this step
}

// Role is one top-level role of a new root: its keys' public parts and how many must sign.
type Role struct {
	Keys      []*metadata.Key
	Threshold int
}

// Init makes the folders of a repository and stages its first root.
func Init(dir string, roles map[string]Role, consistent bool, life Lifetimes) (*Repo, error) {
	if _, err := os.Stat(filepath.Join(dir, "metadata")); err == nil {
		return nil, fmt.Errorf("%s: %w", dir, ErrExists)
	}
	for _, sub := range []string{"metadata", "targets", "staged"} {
		if err := os.MkdirAll(filepath.Join(dir, sub), 0o755); err != nil {
			return nil, err
		}
	}
	r, err := Open(dir)
	if err != nil {
		return nil, err
	}
	r.Life = life
	root := metadata.Root(r.expiry(life.Root))
	root.Signed.ConsistentSnapshot = consistent
	for _, name := range metadata.TOP_LEVEL_ROLE_NAMES {
		role := roles[name]
		if role.Threshold < 1 || len(role.Keys) < role.Threshold {
			_ = r.Close()
			return nil, fmt.Errorf("role %s: %d keys for a threshold of %d", name, len(role.Keys), role.Threshold)
		}
		for _, k := range role.Keys {
			if err := root.Signed.AddKey(k, name); err != nil {
				_ = r.Close()
				return nil, err
			}
		}
		root.Signed.Roles[name].Threshold = role.Threshold
	}
	if err := stageMetadata(r, metadata.ROOT, root); err != nil {
		return nil, err
	}
	targets := metadata.Targets(r.expiry(life.Targets))
	return r, stageMetadata(r, metadata.TARGETS, targets)
}

// Open opens a repository that Init made. One process at a time may have it open.
func Open(dir string) (*Repo, error) {
	if _, err := os.Stat(filepath.Join(dir, "metadata")); err != nil {
		return nil, fmt.Errorf("%s: %w", dir, ErrNotInitialized)
	}
	f, err := monotonic.Open([]string{filepath.Join(dir, "issued.floor")}, 1<<16, func(slog.Level, string, ...slog.Attr) {})
	if err != nil {
		return nil, err
	}
	return &Repo{dir: dir, versions: f, Life: Lives, Now: time.Now, CrashBefore: func(string) bool { return false }}, nil
}

// Close lets others open it.
func (r *Repo) Close() error { return r.versions.Close() }

func (r *Repo) expiry(life time.Duration) time.Time {
	return r.Now().Add(life).UTC().Truncate(time.Second)
}

func (r *Repo) publishedPath(name string) string { return filepath.Join(r.dir, "metadata", name) }

func (r *Repo) stagedPath(role string) string {
	return filepath.Join(r.dir, "staged", tufverify.File{Role: role}.String())
}

func writeFile(name string, text []byte) error {
	return renameio.WriteFile(name, text, 0o644, renameio.WithTempDir(filepath.Dir(name)))
}

func stageMetadata[T metadata.Roles](r *Repo, role string, m *metadata.Metadata[T]) error {
	text, err := m.ToBytes(true)
	if err != nil {
		return err
	}
	return writeFile(r.stagedPath(role), text)
}

// loadMetadata reads what is staged of a role, or else its newest published metadata.
func loadMetadata[T metadata.Roles](r *Repo, role string) (m *metadata.Metadata[T], staged bool, err error) {
	m = &metadata.Metadata[T]{}
	text, err := os.ReadFile(r.stagedPath(role))
	if staged = err == nil; !staged {
		f, newest, err := r.newestFile(role)
		if err != nil {
			return nil, false, err
		}
		if newest == 0 {
			return nil, false, fmt.Errorf("%s: %w", role, ErrNotStaged)
		}
		if text, err = os.ReadFile(r.publishedPath(f)); err != nil {
			return nil, false, err
		}
	}
	if _, err := m.FromBytes(text); err != nil {
		return nil, false, fmt.Errorf("%s: %w", role, err)
	}
	return m, staged, nil
}

// newestFile finds the highest published version of a role, 0 for none.
func (r *Repo) newestFile(role string) (file string, version int64, err error) {
	all, err := os.ReadDir(filepath.Join(r.dir, "metadata"))
	if err != nil {
		return "", 0, err
	}
	for _, e := range all {
		f, ok := tufverify.ParseFile(e.Name())
		if !ok || f.Role != role {
			continue
		}
		v := f.Version
		if v == 0 {
			if v, err = r.versionOf(e.Name()); err != nil {
				return "", 0, err
			}
		}
		if v > version {
			file, version = e.Name(), v
		}
	}
	return file, version, nil
}

func (r *Repo) versionOf(file string) (int64, error) {
	var m struct{ Signed struct{ Version int64 } }
	text, err := os.ReadFile(r.publishedPath(file))
	if err == nil {
		err = json.Unmarshal(text, &m)
	}
	return m.Signed.Version, err
}

// nextVersion is the version that comes after all that were published or ever reserved.
func (r *Repo) nextVersion(role string) (int64, error) {
	_, newest, err := r.newestFile(role)
	reserved, _ := r.versions.Recorded(role)
	return max(newest, reserved) + 1, err
}

// openForChange gives the metadata of a role to change: what is staged, with its signatures taken off, as they no longer
// fit, or a next version.
func openForChange[T metadata.Roles](r *Repo, role string, set func(m *metadata.Metadata[T], version int64)) (*metadata.Metadata[T], error) {
	m, staged, err := loadMetadata[T](r, role)
	if err != nil {
		return nil, err
	}
	m.ClearSignatures()
	if !staged {
		v, err := r.nextVersion(role)
		if err != nil {
			return nil, err
		}
		set(m, v)
	}
	return m, nil
}

func (r *Repo) openTargets(role string) (*metadata.Metadata[metadata.TargetsType], error) {
	return openForChange(r, role, func(m *metadata.Metadata[metadata.TargetsType], v int64) {
		m.Signed.Version, m.Signed.Expires = v, r.expiry(r.Life.Targets)
	})
}

// Add takes a file into the repository as a target of a role, and stages the role's next targets. The file is
// stored at once under its hash; it is vouched for once the targets are signed and published.
func (r *Repo) Add(role, file, as string, build uint16, kinds []string) error {
	if !fs.ValidPath(as) || as == "." || strings.Contains(as, `\`) {
		return fmt.Errorf("target path %q: a relative path without dots is wanted", as)
	}
	m, err := r.openTargets(role)
	if err != nil {
		return err
	}
	in, err := os.Open(file)
	if err != nil {
		return err
	}
	defer func() { _ = in.Close() }()
	t, err := describe(in, as, build, kinds)
	if err != nil {
		return err
	}
	if err := r.storeTarget(in, t); err != nil {
		return err
	}
	m.Signed.Targets[as] = t
	return stageMetadata(r, role, m)
}

// describe reads a file through and gives length, sums and our own fields of it.
func describe(in io.ReadSeeker, as string, build uint16, kinds []string) (*metadata.TargetFiles, error) {
	if _, err := in.Seek(0, io.SeekStart); err != nil {
		return nil, err
	}
	t := metadata.TargetFile()
	t.Path = as
	custom := tufverify.Custom{Build: build, Kinds: kinds, Piece: PieceSize}
	whole, buf := sha256.New(), make([]byte, PieceSize)
	for {
		n, err := io.ReadFull(in, buf)
		if n > 0 {
			whole.Write(buf[:n])
			sum := sha256.Sum256(buf[:n])
			custom.Pieces = append(custom.Pieces, hex.EncodeToString(sum[:]))
			t.Length += int64(n)
		}
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	t.Hashes["sha256"] = whole.Sum(nil)
	text, err := json.Marshal(custom)
	raw := json.RawMessage(text)
	t.Custom = &raw
	return t, err
}

// storeTarget puts a file where targets are served from, under its plain name and its hash's.
func (r *Repo) storeTarget(in io.ReadSeeker, t *metadata.TargetFiles) error {
	dir, base := path.Split(t.Path)
	folder := filepath.Join(r.dir, "targets", filepath.FromSlash(dir))
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	hashed := filepath.Join(folder, t.Hashes["sha256"].String()+"."+base)
	for _, name := range []string{hashed, filepath.Join(folder, base)} {
		if _, err := in.Seek(0, io.SeekStart); err != nil {
			return err
		}
		out, err := renameio.NewPendingFile(name, renameio.WithTempDir(folder), renameio.WithPermissions(0o644))
		if err != nil {
			return err
		}
		_, err = io.Copy(out, in)
		if err == nil {
			err = out.CloseAtomicallyReplace()
		}
		_ = out.Cleanup()
		if err != nil {
			return err
		}
	}
	return nil
}

// Remove stages targets of a role without one path.
func (r *Repo) Remove(role, as string) error {
	m, err := r.openTargets(role)
	if err != nil {
		return err
	}
	if m.Signed.Targets[as] == nil {
		return fmt.Errorf("%s has no target %s", role, as)
	}
	delete(m.Signed.Targets, as)
	return stageMetadata(r, role, m)
}

// Delegate stages targets of a role that delegate paths to another, and the first targets of that one.
func (r *Repo) Delegate(role, to string, of []*metadata.Key, threshold int, paths []string, terminating bool) error {
	if len(of) < threshold || threshold < 1 || len(paths) == 0 || to == "" ||
		slices.Contains(metadata.TOP_LEVEL_ROLE_NAMES[:], to) || strings.ContainsAny(to, `/\`) {
		return fmt.Errorf("delegation to %q: keys for its threshold, paths and a name of its own are wanted", to)
	}
	m, err := r.openTargets(role)
	if err != nil {
		return err
	}
	if m.Signed.Delegations == nil {
		m.Signed.Delegations = &metadata.Delegations{Keys: map[string]*metadata.Key{}}
	}
	d := m.Signed.Delegations
	d.Roles = slices.DeleteFunc(d.Roles, func(is metadata.DelegatedRole) bool { return is.Name == to })
	one := metadata.DelegatedRole{Name: to, Threshold: threshold, Paths: paths, Terminating: terminating}
	for _, k := range of {
		id, err := k.ID()
		if err != nil {
			return err
		}
		d.Keys[id] = k
		one.KeyIDs = append(one.KeyIDs, id)
	}
	d.Roles = append(d.Roles, one)
	if err := stageMetadata(r, role, m); err != nil {
		return err
	}
	if _, newest, err := r.newestFile(to); err != nil || newest > 0 {
		return err
	}
	if _, err := os.Stat(r.stagedPath(to)); err == nil {
		return nil
	}
	return stageMetadata(r, to, metadata.Targets(r.expiry(r.Life.Targets)))
}

// Rotate stages the next root: keys that come into a role, keys (by identifier) that leave it, and its
// threshold, 0 for the present one. A key that leaves is revoked: what it signed no longer counts.
func (r *Repo) Rotate(role string, in []*metadata.Key, out []string, threshold int) error {
	m, err := openForChange(r, metadata.ROOT, func(m *metadata.Metadata[metadata.RootType], v int64) {
		m.Signed.Version, m.Signed.Expires = v, r.expiry(r.Life.Root)
	})
	if err != nil {
		return err
	}
	if m.Signed.Roles[role] == nil {
		return fmt.Errorf("role %q, allowed: %s", role, strings.Join(metadata.TOP_LEVEL_ROLE_NAMES[:], ", "))
	}
	for _, k := range in {
		if err := m.Signed.AddKey(k, role); err != nil {
			return err
		}
	}
	for _, id := range out {
		full := ""
		for _, is := range m.Signed.Roles[role].KeyIDs {
			if strings.HasPrefix(is, id) && id != "" {
				full = is
			}
		}
		if full == "" {
			return fmt.Errorf("key %s of %s: %w", id, role, ErrKey)
		}
		if err := m.Signed.RevokeKey(full, role); err != nil {
			return err
		}
	}
	if threshold > 0 {
		m.Signed.Roles[role].Threshold = threshold
	}
	if is := m.Signed.Roles[role]; len(is.KeyIDs) < is.Threshold {
		return fmt.Errorf("role %s would have %d keys for a threshold of %d", role, len(is.KeyIDs), is.Threshold)
	}
	return stageMetadata(r, metadata.ROOT, m)
}

// Renew stages a next version of a role with the same content and a new end.
func (r *Repo) Renew(role string) error {
	if role == metadata.ROOT {
		return r.Rotate(metadata.ROOT, nil, nil, 0)
	}
	m, err := r.openTargets(role)
	if err != nil {
		return err
	}
	m.Signed.Expires = r.expiry(r.Life.Targets)
	return stageMetadata(r, role, m)
}

// Sign adds a signature to what is staged of a role. A key that nothing knows for the role is refused.
func (r *Repo) Sign(role string, k *keys.Key) error {
	if _, err := os.Stat(r.stagedPath(role)); err != nil {
		return fmt.Errorf("%s: %w", role, ErrNotStaged)
	}
	known, err := r.isRoleKey(role, k.ID)
	if err != nil {
		return err
	}
	if !known {
		return fmt.Errorf("%s: %v: %w", role, k, ErrKey)
	}
	if role == metadata.ROOT {
		return sign[metadata.RootType](r, role, k)
	}
	return sign[metadata.TargetsType](r, role, k)
}

func sign[T metadata.Roles](r *Repo, role string, k *keys.Key) error {
	m, _, err := loadMetadata[T](r, role)
	if err != nil {
		return err
	}
	if err := addSignature(m, k); err != nil {
		return err
	}
	return stageMetadata(r, role, m)
}

func addSignature[T metadata.Roles](m *metadata.Metadata[T], k *keys.Key) error {
	m.Signatures = slices.DeleteFunc(m.Signatures, func(s metadata.Signature) bool { return s.KeyID == k.ID })
	signer, err := k.Signer()
	if err == nil {
		_, err = m.Sign(signer)
	}
	return err
}

// isRoleKey: the staged or the published root, or a delegation, names the key for the role.
func (r *Repo) isRoleKey(role, id string) (bool, error) {
	for _, staged := range []bool{true, false} {
		root, err := r.loadRoot(staged)
		if err != nil {
			return false, err
		}
		if root != nil && root.Signed.Roles[role] != nil && slices.Contains(root.Signed.Roles[role].KeyIDs, id) {
			return true, nil
		}
	}
	names, err := r.targetsRoles()
	if err != nil {
		return false, err
	}
	for _, name := range names {
		m, _, err := loadMetadata[metadata.TargetsType](r, name)
		if err != nil || m.Signed.Delegations == nil {
			continue
		}
		for _, to := range m.Signed.Delegations.Roles {
			if to.Name == role && slices.Contains(to.KeyIDs, id) {
				return true, nil
			}
		}
	}
	return false, nil
}

// loadRoot reads the staged root, or the published one; none: nil.
func (r *Repo) loadRoot(staged bool) (*metadata.Metadata[metadata.RootType], error) {
	name := r.stagedPath(metadata.ROOT)
	if !staged {
		file, v, err := r.newestFile(metadata.ROOT)
		if err != nil || v == 0 {
			return nil, err
		}
		name = r.publishedPath(file)
	}
	text, err := os.ReadFile(name)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return (&metadata.Metadata[metadata.RootType]{}).FromBytes(text)
}

// targetsRoles are the names of all roles of targets, staged or published.
func (r *Repo) targetsRoles() ([]string, error) {
	found := map[string]bool{}
	for _, sub := range []string{"metadata", "staged"} {
		all, err := os.ReadDir(filepath.Join(r.dir, sub))
		if err != nil {
			return nil, err
		}
		for _, e := range all {
			if f, ok := tufverify.ParseFile(e.Name()); ok && f.Kind() == metadata.TARGETS {
				found[f.Role] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(found)), nil
}

// publication is one file that Publish puts in front of clients.
type publication struct {
	role    string
	name    string // of the file
	version int64
	text    []byte
}

// Publish puts what is staged and signed by enough keys in front of clients: first what others hang on, the
// timestamp last, so that a client never finds a name without its file. Snapshot and timestamp are
// signed by the online keys. What is staged but not signed enough refuses the whole.
func (r *Repo) Publish(online []*keys.Key) error {
	root, fresh, err := r.rootToPublish()
	if err != nil {
		return err
	}
	var files []publication
	if fresh {
		text, _ := root.ToBytes(true)
		files = append(files, publication{metadata.ROOT, tufverify.File{Role: metadata.ROOT, Version: root.Signed.Version}.String(),
			root.Signed.Version, text})
	}
	targets, meta, err := r.targetsToPublish(root)
	if err != nil {
		return err
	}
	files = append(files, targets...)
	for _, f := range files { // a number that was given to another content is not given again
		if err := r.versions.Record(f.role, f.version, sha256.Sum256(f.text)); err != nil {
			return err
		}
	}
	snapshot, err := r.signSnapshot(root, meta, online)
	if err != nil {
		return err
	}
	timestamp, err := r.signTimestamp(root, snapshot, online)
	if err != nil {
		return err
	}
	return r.writeAll(append(files, snapshot, timestamp))
}

// targetsToPublish gives the staged files of targets roles, and the entries of all of them for the snapshot.
func (r *Repo) targetsToPublish(root *metadata.Metadata[metadata.RootType]) ([]publication, map[string]*metadata.MetaFiles, error) {
	names, err := r.targetsRoles()
	if err != nil {
		return nil, nil, err
	}
	meta := map[string]*metadata.MetaFiles{}
	var files []publication
	for _, name := range names {
		m, staged, err := loadMetadata[metadata.TargetsType](r, name)
		if err != nil {
			return nil, nil, err
		}
		if err := r.checkSigned(root, name, m, names); err != nil {
			return nil, nil, fmt.Errorf("%s: %w", name, err)
		}
		text, err := r.targetsText(name, m, staged)
		if err != nil {
			return nil, nil, err
		}
		meta[name+".json"] = metaFile(m.Signed.Version, text)
		if staged {
			files = append(files, publication{name, fileName(root, name, m.Signed.Version), m.Signed.Version, text})
		}
	}
	if meta["targets.json"] == nil {
		return nil, nil, fmt.Errorf("targets: %w", ErrNotStaged)
	}
	return files, meta, nil
}

// targetsText is the text of a targets role: of the staged metadata, else of the published file as it stands.
func (r *Repo) targetsText(name string, m *metadata.Metadata[metadata.TargetsType], staged bool) ([]byte, error) {
	text, err := m.ToBytes(true)
	if staged || err != nil {
		return text, err
	}
	file, _, err := r.newestFile(name)
	if err != nil {
		return nil, err
	}
	return os.ReadFile(r.publishedPath(file))
}

// signSnapshot makes the next snapshot, which names the files of meta.
func (r *Repo) signSnapshot(root *metadata.Metadata[metadata.RootType], meta map[string]*metadata.MetaFiles,
	online []*keys.Key) (publication, error) {
	version, err := r.nextVersion(metadata.SNAPSHOT)
	if err != nil {
		return publication{}, err
	}
	snapshot := metadata.Snapshot(r.expiry(r.Life.Snapshot))
	snapshot.Signed.Version, snapshot.Signed.Meta = version, meta
	text, err := signAndRecord(r, root, metadata.SNAPSHOT, version, snapshot, online)
	return publication{metadata.SNAPSHOT, fileName(root, metadata.SNAPSHOT, version), version, text}, err
}

// signTimestamp makes the next timestamp, which names a snapshot.
func (r *Repo) signTimestamp(root *metadata.Metadata[metadata.RootType], snapshot publication,
	online []*keys.Key) (publication, error) {
	version, err := r.nextVersion(metadata.TIMESTAMP)
	if err != nil {
		return publication{}, err
	}
	timestamp := metadata.Timestamp(r.expiry(r.Life.Timestamp))
	timestamp.Signed.Version = version
	timestamp.Signed.Meta["snapshot.json"] = metaFile(snapshot.version, snapshot.text)
	text, err := signAndRecord(r, root, metadata.TIMESTAMP, version, timestamp, online)
	return publication{metadata.TIMESTAMP, "timestamp.json", version, text}, err
}

// writeAll writes the files in their order, each before the staged one that it replaces is removed.
func (r *Repo) writeAll(files []publication) error {
	for _, f := range files {
		if r.CrashBefore(f.role) {
			return errors.New("halted before " + f.role)
		}
		if err := writeFile(r.publishedPath(f.name), f.text); err != nil {
			return err
		}
		if err := os.Remove(r.stagedPath(f.role)); err != nil && !os.IsNotExist(err) {
			return err
		}
	}
	return nil
}

// fileName is the name under which clients ask for a version of a role.
func fileName(root *metadata.Metadata[metadata.RootType], role string, version int64) string {
	f := tufverify.File{Role: role}
	if root.Signed.ConsistentSnapshot {
		f.Version = version
	}
	return f.String()
}

// metaFile names a file by version, length and hash.
func metaFile(version int64, text []byte) *metadata.MetaFiles {
	sum := sha256.Sum256(text)
	return &metadata.MetaFiles{Version: version, Length: int64(len(text)), Hashes: metadata.Hashes{"sha256": sum[:]}}
}

// signAndRecord signs with the online keys that a role has, reserves the version, and gives the text.
func signAndRecord[T metadata.Roles](r *Repo, root *metadata.Metadata[metadata.RootType], role string, version int64,
	m *metadata.Metadata[T], online []*keys.Key) ([]byte, error) {
	for _, k := range online {
		if slices.Contains(root.Signed.Roles[role].KeyIDs, k.ID) {
			if err := addSignature(m, k); err != nil {
				return nil, err
			}
		}
	}
	if err := root.VerifyDelegate(role, m); err != nil {
		return nil, fmt.Errorf("%s: the keys given do not reach its threshold: %w", role, ErrUnsigned)
	}
	text, err := m.ToBytes(true)
	if err != nil {
		return nil, err
	}
	return text, r.versions.Record(role, version, sha256.Sum256(text))
}

// rootToPublish gives the root that is to be in force, and whether it is yet to be published: signed by enough of
// its own keys and of those of the root before it.
func (r *Repo) rootToPublish() (root *metadata.Metadata[metadata.RootType], fresh bool, err error) {
	old, err := r.loadRoot(false)
	if err != nil {
		return nil, false, err
	}
	root, err = r.loadRoot(true)
	if err != nil {
		return nil, false, err
	}
	if root == nil {
		if old == nil {
			return nil, false, ErrNotInitialized
		}
		return old, false, nil
	}
	if old != nil && old.VerifyDelegate(metadata.ROOT, root) != nil {
		return nil, false, fmt.Errorf("root: by the keys of root %d: %w", old.Signed.Version, ErrUnsigned)
	}
	if root.VerifyDelegate(metadata.ROOT, root) != nil {
		return nil, false, fmt.Errorf("root: by its own keys: %w", ErrUnsigned)
	}
	return root, true, nil
}

func (r *Repo) checkSigned(root *metadata.Metadata[metadata.RootType], name string,
	m *metadata.Metadata[metadata.TargetsType], names []string) error {
	if name == metadata.TARGETS {
		if root.VerifyDelegate(name, m) != nil {
			return ErrUnsigned
		}
		return nil
	}
	for _, by := range names {
		from, _, err := loadMetadata[metadata.TargetsType](r, by)
		if err == nil && by != name && from.VerifyDelegate(name, m) == nil {
			return nil
		}
	}
	return ErrUnsigned
}

// Files gives the published metadata by name, and where targets stand, for a server of them.
func Files(dir string) (map[string][]byte, string, error) {
	out := map[string][]byte{}
	all, err := os.ReadDir(filepath.Join(dir, "metadata"))
	if err != nil {
		return nil, "", err
	}
	for _, e := range all {
		if _, ok := tufverify.ParseFile(e.Name()); !ok {
			continue
		}
		text, err := os.ReadFile(filepath.Join(dir, "metadata", e.Name()))
		if err != nil {
			return nil, "", err
		}
		out[e.Name()] = text
	}
	return out, filepath.Join(dir, "targets"), nil
}

// RoleStatus is one role as it stands.
type RoleStatus struct {
	Role      string
	Version   int64
	Expires   time.Time
	Signed    int
	Threshold int
	Staged    bool
	Targets   []string
}

// Status tells how each role stands, staged ones last.
func (r *Repo) Status() (all []RoleStatus, err error) {
	for _, sub := range []string{"metadata", "staged"} {
		entries, err := os.ReadDir(filepath.Join(r.dir, sub))
		if err != nil {
			return nil, err
		}
		for _, e := range entries {
			f, ok := tufverify.ParseFile(e.Name())
			if !ok {
				continue
			}
			text, err := os.ReadFile(filepath.Join(r.dir, sub, e.Name()))
			if err != nil {
				return nil, err
			}
			var m struct {
				Signed struct {
					Version int64
					Expires time.Time
					Targets map[string]any
				}
				Signatures []metadata.Signature
			}
			if err := json.NewDecoder(bytes.NewReader(text)).Decode(&m); err != nil {
				return nil, fmt.Errorf("%s: %w", e.Name(), err)
			}
			all = append(all, RoleStatus{Role: f.Role, Version: m.Signed.Version, Expires: m.Signed.Expires,
				Signed: len(m.Signatures), Staged: sub == "staged", Targets: slices.Sorted(maps.Keys(m.Signed.Targets)),
				Threshold: r.threshold(f.Role)})
		}
	}
	return all, nil
}

func (r *Repo) threshold(role string) int {
	for _, staged := range []bool{true, false} {
		if root, err := r.loadRoot(staged); err == nil && root != nil && root.Signed.Roles[role] != nil {
			return root.Signed.Roles[role].Threshold
		}
	}
	names, _ := r.targetsRoles()
	for _, name := range names {
		if m, _, err := loadMetadata[metadata.TargetsType](r, name); err == nil && m.Signed.Delegations != nil {
			for _, to := range m.Signed.Delegations.Roles {
				if to.Name == role {
					return to.Threshold
				}
			}
		}
	}
	return 0
}
