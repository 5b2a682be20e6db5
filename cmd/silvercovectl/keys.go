package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/theupdateframework/go-tuf/v2/metadata"

	"silvercove/internal/keys"
	"silvercove/internal/tufrepo"
)

// keysCmd holds the sub-commands of keys.
type keysCmd struct {
	Make   keysMakeCmd   `cmd:"" help:"Generate a key: an encrypted file, and a file with its public part."`
	List   keysListCmd   `cmd:"" help:"List the keys of a folder."`
	Rotate keysRotateCmd `cmd:"" help:"Stage the next root of a repository, with keys added to a role or removed from it."`
	Revoke keysRevokeCmd `cmd:"" help:"Stage the next root without a key, whose signatures then no longer count."`
}

// keysMakeCmd is the sub-command that generates a key.
type keysMakeCmd struct {
	Path  string `arg:"" help:"File to write, NAME.key."`
	Type  string `default:"ed25519" enum:"ed25519,ecdsa" help:"ed25519 or ecdsa (P-256)."`
	Plain bool   `help:"Do not encrypt the key. For online keys, which programs use without an operator."`
}

// Run generates a key.
func (c *keysMakeCmd) Run() error {
	if !strings.HasSuffix(c.Path, keys.Suffix) {
		return fmt.Errorf("%s: the name of a key file must end in %s", c.Path, keys.Suffix)
	}
	var phrase []byte
	if !c.Plain {
		var err error
		if phrase, err = keys.PassphraseFrom(os.Getenv)(); err != nil {
			return err
		}
		if len(phrase) < 8 {
			return errors.New("COVE_PASSPHRASE_FILE or COVE_PASSPHRASE must give a pass phrase of at least 8 bytes; " +
				"use --plain for an online key")
		}
	}
	k, err := keys.Generate(c.Type)
	if err != nil {
		return err
	}
	if err := k.Save(c.Path, phrase); err != nil {
		return withDiskFull(err)
	}
	fmt.Printf("%s %s %s\n", c.Path, k.Public.Type, k.ID)
	return nil
}

// keysListCmd is the sub-command that lists keys.
type keysListCmd struct {
	Folder string `arg:"" type:"existingdir" help:"Folder with .key files."`
}

// Run lists the keys of a folder. After the list it returns an error if a key file was refused.
func (c *keysListCmd) Run() error {
	all, err := keys.List(c.Folder)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	refused := 0
	for _, k := range all {
		if k.ReadError != "" {
			_, _ = fmt.Fprintf(w, "%s\trefused\t%s\n", k.Path, k.ReadError)
			refused++
			continue
		}
		storage := "plain"
		if k.Encrypted {
			storage = "encrypted"
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", k.Path, k.Type, storage, k.ID)
	}
	_ = w.Flush()
	if refused > 0 {
		return fmt.Errorf("%d of %d keys were refused", refused, len(all))
	}
	return nil
}

// keysRotateCmd is the sub-command that stages a root with keys added to a role or removed from it.
type keysRotateCmd struct {
	Repo      string   `arg:"" type:"existingdir" help:"The repository."`
	Role      string   `arg:"" enum:"root,targets,snapshot,timestamp" help:"root, targets, snapshot or timestamp."`
	In        []string `help:"Public or key files of the keys to add."`
	Out       []string `help:"Identifiers of the keys to remove, or prefixes of them."`
	Threshold int      `help:"The new threshold of signatures; 0 keeps the present one."`
}

// Run stages the next root, with the keys and the threshold of the role changed.
func (c *keysRotateCmd) Run() error {
	r, err := tufrepo.Open(c.Repo)
	if err != nil {
		return err
	}
	defer func() { _ = r.Close() }()
	in, err := publicKeys(c.In)
	if err != nil {
		return err
	}
	if err := r.Rotate(c.Role, in, c.Out, c.Threshold); err != nil {
		return withDiskFull(err)
	}
	fmt.Println("staged the next root: sign it by the keys of the root before it and by its own, then publish")
	return nil
}

// keysRevokeCmd is the sub-command that removes a key from a role.
type keysRevokeCmd struct {
	Repo string `arg:"" type:"existingdir" help:"The repository."`
	Role string `arg:"" enum:"root,targets,snapshot,timestamp" help:"root, targets, snapshot or timestamp."`
	ID   string `arg:"" help:"The key's identifier, or a prefix of it."`
}

// Run stages the next root, in which the role no longer has the key.
func (c *keysRevokeCmd) Run() error {
	return (&keysRotateCmd{Repo: c.Repo, Role: c.Role, Out: []string{c.ID}}).Run()
}

// publicKeys reads public keys from files, each of which is a key file or a file with the public part of a key.
func publicKeys(paths []string) (all []*metadata.Key, err error) {
	for _, p := range paths {
		k, _, err := keys.LoadPublic(p)
		if err != nil {
			return nil, err
		}
		all = append(all, k)
	}
	return all, nil
}

// tufCmd holds the sub-commands of tuf.
type tufCmd struct {
	Init     tufInitCmd     `cmd:"" help:"Create a repository and stage its first root and targets."`
	Add      tufAddCmd      `cmd:"" help:"Add a file as a target and stage the targets."`
	Remove   tufRemoveCmd   `cmd:"" help:"Remove a target and stage the targets."`
	Delegate tufDelegateCmd `cmd:"" help:"Stage targets that delegate paths to another role."`
	Renew    tufRenewCmd    `cmd:"" help:"Stage the next version of a role, with a new expiry time."`
	Sign     tufSignCmd     `cmd:"" help:"Add a signature to the staged metadata of a role."`
	Publish  tufPublishCmd  `cmd:"" help:"Publish the metadata that are staged and signed, with a new snapshot and timestamp."`
	Verify   tufVerifyCmd   `cmd:"" help:"Run the TUF client workflow against a repository or a front."`
	Show     tufShowCmd     `cmd:"" help:"Show the state of each role."`
}

// lifetimes holds the flags that set how long new metadata are valid.
type lifetimes struct {
	RootLife      time.Duration `default:"8760h" help:"How long a root is valid."`
	TargetsLife   time.Duration `default:"2160h" help:"How long targets metadata are valid."`
	SnapshotLife  time.Duration `default:"168h" help:"How long a snapshot is valid."`
	TimestampLife time.Duration `default:"24h" help:"How long a timestamp is valid."`
}

func (l lifetimes) tufLifetimes() tufrepo.Lifetimes {
	return tufrepo.Lifetimes{Root: l.RootLife, Targets: l.TargetsLife, Snapshot: l.SnapshotLife, Timestamp: l.TimestampLife}
}

// withRepo opens the repository in dir, sets its lifetimes to l, calls step and closes the repository.
func (l lifetimes) withRepo(dir string, step func(r *tufrepo.Repo) error) error {
	r, err := tufrepo.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = r.Close() }()
	r.Lifetimes = l.tufLifetimes()
	return withDiskFull(step(r))
}

// tufInitCmd is the sub-command that creates a repository.
type tufInitCmd struct {
	lifetimes
	Repo             string   `arg:"" help:"Folder of the new repository."`
	Root             []string `required:"" help:"Public or key files of the root keys."`
	Targets          []string `required:"" help:"Public or key files of the targets keys."`
	Snapshot         []string `required:"" help:"Public or key files of the snapshot keys."`
	Timestamp        []string `required:"" help:"Public or key files of the timestamp keys."`
	RootThreshold    int      `default:"1" help:"How many root keys must sign."`
	TargetsThreshold int      `default:"1" help:"How many targets keys must sign."`
	Inconsistent     bool     `help:"Do not use consistent snapshots: file names have no version prefix."`
}

// Run creates a repository.
func (c *tufInitCmd) Run() error {
	roles := map[string]tufrepo.Role{}
	for role, roleKeys := range map[string]struct {
		files     []string
		threshold int
	}{"root": {c.Root, c.RootThreshold}, "targets": {c.Targets, c.TargetsThreshold}, "snapshot": {c.Snapshot, 1},
		"timestamp": {c.Timestamp, 1}} {
		all, err := publicKeys(roleKeys.files)
		if err != nil {
			return err
		}
		roles[role] = tufrepo.Role{Keys: all, Threshold: roleKeys.threshold}
	}
	r, err := tufrepo.Init(c.Repo, roles, !c.Inconsistent, c.tufLifetimes())
	if err != nil {
		return withDiskFull(err)
	}
	defer func() { _ = r.Close() }()
	fmt.Printf("%s: staged root 1 and targets 1: sign both, then publish\n", c.Repo)
	return nil
}

// tufAddCmd is the sub-command that adds a target.
type tufAddCmd struct {
	lifetimes
	Repo  string   `arg:"" type:"existingdir" help:"The repository."`
	File  string   `arg:"" type:"existingfile" help:"The file."`
	As    string   `required:"" help:"Path of the target, such as app/7.tar."`
	Role  string   `default:"targets" help:"Role that vouches for it."`
	Build uint16   `help:"Build number of the package."`
	Kinds []string `help:"Kinds of hardware that may run it; without this flag, all."`
}

// Run adds a file as a target and stages the role's targets.
func (c *tufAddCmd) Run() error {
	return c.withRepo(c.Repo, func(r *tufrepo.Repo) error { return r.Add(c.Role, c.File, c.As, c.Build, c.Kinds) })
}

// tufRemoveCmd is the sub-command that removes a target.
type tufRemoveCmd struct {
	lifetimes
	Repo string `arg:"" type:"existingdir" help:"The repository."`
	Path string `arg:"" help:"Path of the target."`
	Role string `default:"targets" help:"Role that vouches for it."`
}

// Run stages the role's targets without the path.
func (c *tufRemoveCmd) Run() error {
	return c.withRepo(c.Repo, func(r *tufrepo.Repo) error { return r.Remove(c.Role, c.Path) })
}

// tufDelegateCmd is the sub-command that delegates paths to a role.
type tufDelegateCmd struct {
	lifetimes
	Repo        string   `arg:"" type:"existingdir" help:"The repository."`
	To          string   `arg:"" help:"Name of the role."`
	From        string   `default:"targets" help:"Role that delegates."`
	Keys        []string `required:"" help:"Public or key files of the role's keys."`
	Threshold   int      `default:"1" help:"How many of these keys must sign."`
	Paths       []string `required:"" help:"Patterns of paths, such as app/*."`
	Terminating bool     `help:"Make the delegation terminating: later roles may not sign for these paths."`
}

// Run stages a delegation.
func (c *tufDelegateCmd) Run() error {
	all, err := publicKeys(c.Keys)
	if err != nil {
		return err
	}
	return c.withRepo(c.Repo, func(r *tufrepo.Repo) error {
		return r.Delegate(c.From, c.To, all, c.Threshold, c.Paths, c.Terminating)
	})
}

// tufRenewCmd is the sub-command that extends the validity of a role.
type tufRenewCmd struct {
	lifetimes
	Repo string `arg:"" type:"existingdir" help:"The repository."`
	Role string `arg:"" help:"root, targets or a delegated role."`
}

// Run stages the next version of the role, with a new expiry time.
func (c *tufRenewCmd) Run() error {
	return c.withRepo(c.Repo, func(r *tufrepo.Repo) error { return r.Renew(c.Role) })
}

// tufSignCmd is the sub-command that signs staged metadata.
type tufSignCmd struct {
	lifetimes
	Repo string   `arg:"" type:"existingdir" help:"The repository."`
	Role string   `arg:"" help:"Role whose staged metadata to sign."`
	Keys []string `arg:"" help:"Key files."`
}

// Run signs the staged metadata of the role with each key.
func (c *tufSignCmd) Run() error {
	return c.withRepo(c.Repo, func(r *tufrepo.Repo) error {
		for _, path := range c.Keys {
			k, err := keys.Load(path, keys.PassphraseFrom(os.Getenv))
			if err != nil {
				return err
			}
			if err := r.Sign(c.Role, k); err != nil {
				return err
			}
			fmt.Printf("%s signed by %.8s\n", c.Role, k.ID)
		}
		return nil
	})
}

// tufPublishCmd is the sub-command that publishes staged metadata.
type tufPublishCmd struct {
	lifetimes
	Repo string   `arg:"" type:"existingdir" help:"The repository."`
	Keys []string `arg:"" help:"Key files of the snapshot and timestamp."`
}

// Run publishes the staged metadata, with a new snapshot and a new timestamp that it signs with the online keys.
func (c *tufPublishCmd) Run() error {
	var online []*keys.Key
	for _, path := range c.Keys {
		k, err := keys.Load(path, keys.PassphraseFrom(os.Getenv))
		if err != nil {
			return err
		}
		online = append(online, k)
	}
	return c.withRepo(c.Repo, func(r *tufrepo.Repo) error {
		if err := r.Publish(online); err != nil {
			return err
		}
		fmt.Println("published")
		return nil
	})
}

// tufShowCmd is the sub-command that shows the roles of a repository.
type tufShowCmd struct {
	Repo string `arg:"" type:"existingdir" help:"The repository."`
}

// Run prints the version, signatures and expiry time of each role.
func (c *tufShowCmd) Run() error {
	return lifetimes{}.withRepo(c.Repo, func(r *tufrepo.Repo) error {
		all, err := r.Status()
		if err != nil {
			return err
		}
		w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
		_, _ = fmt.Fprintln(w, "role\tversion\tsigned\texpires\tstate\ttargets")
		for _, s := range all {
			state := "published"
			if s.Staged {
				state = "staged"
			}
			_, _ = fmt.Fprintf(w, "%s\t%d\t%d of %d\t%s\t%s\t%s\n", s.Role, s.Version, s.Signed, s.Threshold,
				s.Expires.Format(time.RFC3339), state, strings.Join(s.Targets, " "))
		}
		return w.Flush()
	})
}
