package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of listLate, within those that the operators' pages give for servers that die and for a list that is late.
const (
	removedAfter = 2500 * time.Millisecond // the list shows that a server has gone ("2 to 4.9 s")
	awayFor      = 7 * time.Second         // the server is back ("5.8 to 19 s")
	listedAfter  = time.Second             // the list shows a server that has started ("0.43 to 1.1 s")
)

// site is a metadata front with two mirrors, a discovery agent and servers that update through it.
type site struct {
	*environment
	work    string
	front   string
	world   *world
	servers []*unit
	procs   map[string]*process
}

// ctl runs a sub-command of the control program in the folder of the repositories.
func (s *site) ctl(args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(s.root, "bin/silvercovectl"), args...)
	cmd.Dir = s.work
	out, err := cmd.CombinedOutput()
	return strings.TrimSpace(string(out)), err
}

// publish makes keys and the two repositories, with a package for build 1 and one for build 2.
func (s *site) publish() error {
	if err := os.Mkdir(filepath.Join(s.work, "keys"), 0o700); err != nil {
		return err
	}
	var steps [][]string
	step := func(words string) { steps = append(steps, strings.Fields(words)) }
	for _, key := range []string{"root", "targets", "snapshot", "timestamp", "dtargets", "dsnapshot", "dtimestamp"} {
		step("keys make keys/" + key + ".key --plain")
	}
	for _, u := range s.servers {
		step("keys make keys/" + u.name + ".key --plain")
	}
	step("tuf init image --root keys/root.key --targets keys/targets.key --snapshot keys/snapshot.key --timestamp keys/timestamp.key")
	for _, build := range []string{"1", "2"} {
		if err := os.WriteFile(filepath.Join(s.work, "package"+build), []byte("package "+build+"\n"), 0o600); err != nil {
			return err
		}
		step("tuf add image package" + build + " --as app/" + build + ".tar --build " + build + " --kinds large")
	}
	step("tuf init director --root keys/root.key --targets keys/dtargets.key --snapshot keys/dsnapshot.key --timestamp keys/dtimestamp.key")
	step("tuf sign image root keys/root.key")
	step("tuf sign image targets keys/targets.key")
	step("tuf sign director root keys/root.key")
	step("tuf sign director targets keys/dtargets.key")
	step("tuf publish image keys/snapshot.key keys/timestamp.key")
	step("tuf publish director keys/dsnapshot.key keys/dtimestamp.key")
	for _, words := range steps {
		if out, err := s.ctl(words...); err != nil {
			return fmt.Errorf("%v: %w: %s", words, err, out)
		}
	}
	return nil
}

// startFront writes the operator's file and starts the agent, two mirrors and the front.
func (s *site) startFront() error {
	agent, err := serveHTTP(s.world.agent("front"))
	if err != nil {
		return err
	}
	port, err := freePorts()
	if err != nil {
		return err
	}
	address := func(i int) string { return net.JoinHostPort("127.0.0.1", fmt.Sprint(port+i)) }
	s.front = address(0)
	var keys strings.Builder
	for _, u := range s.servers {
		fmt.Fprintf(&keys, "    server %s z1 large keys/%s.pub\n", u.name, u.name)
	}
	text := fmt.Sprintf(`metadata {
  listen %s
  floor floor
  repository image {
    root image/metadata/1.root.json
    mirror m1 %s z1 up
    mirror m2 %s z2 up
  }
  director {
    image image
    chain director
    key keys/dtargets.key
    key keys/dsnapshot.key
    key keys/dtimestamp.key
    running 1
    package 1 app/1.tar
    package 2 app/2.tar
    wave 2 live 100%%
    discovery %s
%s  }
}
`, s.front, address(1), address(2), agent, keys.String())
	if err := os.WriteFile(filepath.Join(s.work, "cove.conf"), []byte(text), 0o600); err != nil {
		return err
	}
	for i, name := range []string{"m1", "m2"} {
		if err := s.launch(name, "exec "+s.standins()+" standin mirror image "+address(i+1)); err != nil {
			return err
		}
	}
	return s.launch("front", "exec "+filepath.Join(s.root, "bin/silvercovectl")+" metadata serve cove.conf")
}

// standins is the program with the project's own stand-ins.
func (s *site) standins() string { return filepath.Join(s.root, "bin/review/standins") }

func (s *site) launch(name, command string) error {
	p, err := startProcess(s.work, s.folder, name, command, nil)
	if err == nil {
		s.procs[name] = p
		s.rec.line("start %s", name)
	}
	return err
}

func (s *site) startServer(name string) error {
	return s.launch(name, fmt.Sprintf("exec %s standin server %s large --front %s --image image --image-root image/metadata/1.root.json"+
		" --director-root director/metadata/1.root.json --key keys/%s.key --for 100s --poll 500ms", s.standins(), name, s.front, name))
}

// installed returns the builds that a server has installed since its last start, in order.
func (s *site) installed(name string) []string {
	text, _ := os.ReadFile(filepath.Join(s.folder, name+".log"))
	var builds []string
	for _, found := range installedBuild.FindAllStringSubmatch(string(text), -1) {
		builds = append(builds, found[1])
	}
	return builds
}

var (
	installedBuild = regexp.MustCompile(` runs build (\d+), `)
	toldBuild      = regexp.MustCompile(`, build (\d+):`)
)

// told returns the build that the front tells a server, as the operators' own tool reads it.
func (s *site) told(name string) string {
	out, _ := s.ctl("uptane", "assign", s.front, name, "--root", "director/metadata/1.root.json")
	if found := toldBuild.FindStringSubmatch(out); found != nil {
		return found[1]
	}
	return "?"
}

func (s *site) await(limit time.Duration, what string, holds func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("not within %v: %s", limit, what)
}

// listLate has one server of eight die and come back while build 2 is live. The list shows both late. It checks that no server is told
// an earlier build than before.
func listLate(e *environment) (broken []string, err error) {
	s := &site{environment: e, work: filepath.Join(e.folder, "site"), procs: map[string]*process{},
		world: newWorld(e.rec, stage{Revision: 2, State: "live", MaxShare: 1})}
	defer func() {
		for _, p := range s.procs {
			p.kill()
		}
	}()
	if err := os.Mkdir(s.work, 0o700); err != nil {
		return nil, err
	}
	for i := range 8 {
		u := &unit{name: fmt.Sprintf("s%d", i+1), build: 1, kind: "large", addresses: map[string]string{"front": "127.0.0.1:9"}}
		s.servers = append(s.servers, u)
		s.world.list(u, "up", time.Time{})
	}
	if err := s.publish(); err != nil {
		return nil, err
	}
	if err := s.startFront(); err != nil {
		return nil, err
	}
	if err := s.await(10*time.Second, "the front answers", func() bool {
		_, err := s.ctl("metadata", "status", s.front)
		return err == nil
	}); err != nil {
		return nil, err
	}
	for _, u := range s.servers {
		if err := s.startServer(u.name); err != nil {
			return nil, err
		}
	}
	if err := s.await(40*time.Second, "all servers run build 2", func() bool {
		for _, u := range s.servers {
			if builds := s.installed(u.name); len(builds) == 0 || builds[len(builds)-1] != "2" {
				return false
			}
		}
		return true
	}); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	for _, u := range s.servers {
		if told := s.told(u.name); told != "2" {
			return nil, fmt.Errorf("%s is told build %s before the disruption", u.name, told)
		}
	}
	e.rec.line("each server runs build 2 and is told build 2")
	if e.trouble {
		s.crash(s.servers[2])
	}
	time.Sleep(6 * time.Second)
	return s.check(), nil
}

// crash has a server die and come back.
func (s *site) crash(u *unit) {
	s.rec.line("%s dies", u.name)
	s.procs[u.name].signal(syscall.SIGKILL)
	<-s.procs[u.name].ended
	var later sync.WaitGroup
	later.Go(func() {
		time.Sleep(removedAfter)
		s.world.list(u, "removed", time.Time{})
	})
	later.Go(func() {
		time.Sleep(awayFor + listedAfter)
		s.world.list(u, "up", time.Now())
	})
	time.Sleep(awayFor)
	s.rec.line("%s is back", u.name)
	if err := s.startServer(u.name); err != nil {
		s.rec.line("%s: %v", u.name, err)
	}
	later.Wait()
}

// check returns the servers that were told or have installed build 1 after they ran build 2.
func (s *site) check() (broken []string) {
	for i, u := range s.servers {
		builds, told := s.installed(u.name), s.told(u.name)
		s.rec.line("%s has installed since its last start: %s; it is told build %s", u.name, strings.Join(builds, " "), told)
		restarted := i == 2 && s.trouble
		for at, build := range builds {
			if build == "1" && (restarted || at > 0) {
				broken = append(broken, fmt.Sprintf("%s was told build 1, and installed it, after it had run build 2, which is live", u.name))
			}
		}
		if told == "1" {
			broken = append(broken, u.name+" is told build 1, though build 2 is live")
		}
	}
	return broken
}
