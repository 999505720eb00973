package fleet

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/stand/check"
	"mangowinch/internal/stand/server"
)

func (f *Fleet) journalFile(agent string) string {
	return filepath.Join(f.Directory, "logs", agent+".journal")
}

// Executions returns the requests that ran at all servers since the start of the fleet,
// including servers that have been killed.
func (f *Fleet) Executions() (executions []check.Execution, err error) {
	defer func() { err = errors.Wrap(err, "read journals") }()
	for _, n := range f.Nodes {
		if n.Agent == nil {
			continue
		}
		ran, err := readJournal(f.journalFile(n.Process.Name))
		if err != nil {
			return nil, err
		}
		for _, e := range ran {
			executions = append(executions, check.Execution{
				Service: n.Agent.Service,
				Server:  n.Agent.Server,
				Origin:  f.origin(n.Agent.Service, e.ID),
				Token:   Token(e.Path),
				At:      e.At,
			})
		}
	}
	return executions, nil
}

// origin returns the server whose agent assigned a request ID, which begins with the
// number of that server.
func (f *Fleet) origin(service, id string) string {
	number, _, _ := strings.Cut(id, "-")
	for _, s := range f.Service(service).Servers {
		if strconv.FormatUint(uint64(s.ID), 10) == number {
			return s.Name
		}
	}
	return ""
}

// readJournal returns the executions that a server began.
func readJournal(path string) (executions []server.Execution, err error) {
	file, err := os.Open(path)
	if os.IsNotExist(err) {
		return nil, nil // the server was never started
	}
	if err != nil {
		return nil, err
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var e server.Execution
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, errors.Wrapf(err, "%s", path)
		}
		if e.End == "" {
			executions = append(executions, e)
		}
	}
	return executions, lines.Err()
}

// Token returns the second segment of a path, which identifies the request.
func Token(path string) string {
	path, _, _ = strings.Cut(path, "?")
	parts := strings.SplitN(path, "/", 4)
	if len(parts) < 3 {
		return path
	}
	return parts[2]
}
