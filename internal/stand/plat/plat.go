// Package plat is a stand-in for the platform: it serves service documents with
// revisions, a watch on them, and a list of instances that lags.
//
// It exists so that a whole deployment can run on one machine as separate processes.
// It is not a configuration service: it polls a directory of files, keeps the
// versions in memory, and offers readers no way to write. Faults are set on a
// second handler, which readers have no access to.
//
// The directory holds NAME.ini (the text of a document), NAME.rev (optional, the
// revision of that text) and instances.json (optional, the list of instances).
//
// # Usage
//
//	platform := plat.New(plat.Settings{Directory: "examples/zagreb"})
//	go platform.Run(ctx)
//	go http.ListenAndServe("127.0.9.1:8000", platform.Reader())
//	go http.ListenAndServe("127.0.9.1:8001", platform.Admin())
package plat

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

const (
	scanInterval    = 50 * time.Millisecond // bounds how late a changed file is noticed
	watchTimeout    = 25 * time.Second      // a watch without a change responds after this time
	maxVersions     = 64                    // versions stored of each document, for Stale and for a restore
	maxLists        = 256                   // instance lists stored, which bounds the lag
	maxCountedPaths = 4096                  // paths whose calls are counted
	instancesFile   = "instances.json"
)

// Settings configures a Platform.
type Settings struct {
	Directory string
	Lag       time.Duration // age of the instance list that is served
	Log       zerolog.Logger
}

// Document is the name and revision of a document.
type Document struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

// Documents is the response to /documents and /watch.
type Documents struct {
	Index     uint64     `json:"index"`
	Documents []Document `json:"documents"`
}

// Instance is one process in the platform's list.
type Instance struct {
	Name    string `json:"name"`
	Role    string `json:"role"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
	State   string `json:"state"`
}

// Instances is the response to /instances.
type Instances struct {
	Index     uint64     `json:"index"`
	Instances []Instance `json:"instances"`
}

type version struct {
	revision uint64
	text     string
}

type listSnapshot struct {
	at   time.Time
	list Instances
}

// Platform serves a directory. Its methods are safe for concurrent use.
type Platform struct {
	settings Settings

	mutex           sync.Mutex
	era             uint64    // incremented at each restore from a backup
	scanPausedUntil time.Time // set by restore: the directory is not read before this time
	index           uint64
	versions        map[string][]version // oldest first
	lists           []listSnapshot       // oldest first
	fault           Fault
	staleView       *view // served while the fault is Stale
	calls           map[string]uint64
	changed         chan struct{} // closed and replaced when the served state may have changed
}

// New returns a platform and reads its directory once.
func New(s Settings) *Platform {
	p := &Platform{
		settings: s,
		versions: map[string][]version{},
		calls:    map[string]uint64{},
		changed:  make(chan struct{}),
		fault:    Fault{Mode: OK},
	}
	p.scan()
	return p
}

// Run polls the directory until the context ends.
func (p *Platform) Run(ctx context.Context) {
	ticker := time.NewTicker(scanInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.scan()
		}
	}
}

func (p *Platform) scan() {
	p.mutex.Lock()
	paused := time.Now().Before(p.scanPausedUntil)
	p.mutex.Unlock()
	if paused {
		return
	}
	texts, revisions, err := readDocuments(p.settings.Directory)
	if err != nil {
		p.settings.Log.Error().Err(err).Msg("cannot read the directory of documents")
		return
	}
	list, listErr := readInstances(p.settings.Directory)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	changed := false
	for name, text := range texts {
		changed = p.accept(name, text, revisions[name]) || changed
	}
	for name := range p.versions {
		if _, ok := texts[name]; !ok {
			delete(p.versions, name)
			changed = true
		}
	}
	if listErr == nil && p.acceptList(list) {
		changed = true
	}
	if changed {
		p.index++
		p.notifyWatches()
	}
}

// accept stores a text as the newest version of a document and reports whether it is new. A required revision other
// than 0 takes the place of the next one. The mutex is held.
func (p *Platform) accept(name, text string, required uint64) bool {
	kept := p.versions[name]
	next := version{revision: 1, text: text}
	if len(kept) > 0 {
		last := kept[len(kept)-1]
		if last.text == text && (required == 0 || required == last.revision) {
			return false
		}
		next.revision = last.revision + 1
	}
	if required != 0 {
		next.revision = required
	}
	kept = append(kept, next)
	if len(kept) > maxVersions {
		kept = kept[len(kept)-maxVersions:]
	}
	p.versions[name] = kept
	p.settings.Log.Info().Str("document", name).Uint64("revision", next.revision).Msg("document changed")
	return true
}

// rewriteDelay is the time between a restore and the moment at which the service teams have written the lost versions
// again: until then the directory, which still contains them, is not read.
const rewriteDelay = time.Second

// restore restores the platform from a backup that lacks the last versions of each document. The index and the revisions
// go back as well, so that their numbers are assigned a second time.
func (p *Platform) restore(back int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for name, kept := range p.versions {
		dropped := min(back, len(kept)-1)
		p.versions[name] = kept[:len(kept)-dropped]
		p.index -= min(p.index, uint64(dropped))
	}
	p.era++
	p.scanPausedUntil = time.Now().Add(rewriteDelay)
	p.notifyWatches()
	p.settings.Log.Info().Uint64("era", p.era).Msg("restored from a backup")
}

func (p *Platform) acceptList(list []Instance) bool {
	if len(p.lists) > 0 && sameInstances(p.lists[len(p.lists)-1].list.Instances, list) {
		return false
	}
	p.lists = append(p.lists, listSnapshot{
		at:   time.Now(),
		list: Instances{Index: p.index + 1, Instances: list},
	})
	if len(p.lists) > maxLists {
		p.lists = p.lists[len(p.lists)-maxLists:]
	}
	return true
}

// notifyWatches makes every pending watch check for changes. The mutex is held.
func (p *Platform) notifyWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func sameInstances(a, b []Instance) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

func readDocuments(directory string) (texts map[string]string, revisions map[string]uint64, err error) {
	defer func() { err = errors.Wrap(err, "read documents") }()
	files, err := os.ReadDir(directory)
	if err != nil {
		return nil, nil, err
	}
	texts, revisions = map[string]string{}, map[string]uint64{}
	for _, f := range files {
		name, isDocument := strings.CutSuffix(f.Name(), ".ini")
		if !isDocument || f.IsDir() {
			continue
		}
		text, err := os.ReadFile(filepath.Join(directory, f.Name()))
		if err != nil {
			return nil, nil, err
		}
		texts[name] = string(text)
		revisions[name] = readRevision(filepath.Join(directory, name+".rev"))
	}
	return texts, revisions, nil
}

// readRevision returns 0 if the file is missing or incomplete, as while it is being written.
func readRevision(path string) uint64 {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	n, err := strconv.ParseUint(strings.TrimSpace(string(text)), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func readInstances(directory string) (list []Instance, err error) {
	defer func() { err = errors.Wrap(err, "read instances") }()
	text, err := os.ReadFile(filepath.Join(directory, instancesFile))
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(text, &list); err != nil {
		return nil, err
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list, nil
}
