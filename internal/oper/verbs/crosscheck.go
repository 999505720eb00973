package verbs

import (
	"fmt"
	"net/netip"
	"slices"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/conf/strict"
)

// crossCheck checks the files against each other. Each of them is valid by itself.
func (fs *fileSet) crossCheck() (faults strict.Faults) {
	faults = append(faults, fs.checkDocuments()...)
	for _, s := range fs.settings {
		faults = append(faults, s.checkKeys(fs.documents)...)
		if s.Agent != nil {
			faults = append(faults, s.checkAgent(fs.documents)...)
		}
	}
	return faults
}

// checkDocuments reports names and addresses that two documents claim. The destination address
// determines the service of a packet, so with one address in two documents
// packets of one service would be sent to the servers of the other.
func (fs *fileSet) checkDocuments() (faults strict.Faults) {
	names := map[string]string{}
	addresses := map[netip.AddrPort]string{}
	claim := func(d documentFile, section, key string, address netip.AddrPort) {
		if file, ok := addresses[address]; ok {
			faults = append(faults, fault(d.file, section, key, strict.Duplicate, fmt.Sprintf("%s is claimed by %s", address, file)))
		}
		addresses[address] = d.file
	}
	for _, d := range fs.documents {
		if file, ok := names[d.service.Name]; ok {
			faults = append(faults, fault(d.file, "service", "name", strict.Duplicate, fmt.Sprintf("%s is the service of %s", d.service.Name, file)))
		}
		names[d.service.Name] = d.file
		claim(d, "service", "address", d.service.Address)
		for _, v := range d.service.Servers {
			claim(d, "server "+v.Name, "agent", v.Agent)
		}
	}
	return faults
}

// checkKeys reports keys that documents name and the process does not have. An
// entry routes all services; an agent needs only the keys of its own service.
func (s settingsFile) checkKeys(documents []documentFile) (faults strict.Faults) {
	for _, d := range documents {
		if s.Agent != nil && s.Agent.Service != d.service.Name {
			continue
		}
		for _, name := range append([]string{d.service.Current}, d.service.Former...) {
			if _, ok := s.Keys[name]; !ok {
				faults = append(faults, fault(s.file, "key "+name, "", strict.Missing, "named by "+d.file))
			}
		}
	}
	return faults
}

// checkAgent compares the settings of an agent with the server section that the agent belongs to.
func (s settingsFile) checkAgent(documents []documentFile) (faults strict.Faults) {
	i := slices.IndexFunc(documents, func(d documentFile) bool { return d.service.Name == s.Agent.Service })
	if i < 0 {
		return nil // its document is not among the files
	}
	d := documents[i]
	j := slices.IndexFunc(d.service.Servers, func(v docs.Server) bool { return v.Name == s.Agent.Server })
	if j < 0 {
		return strict.Faults{fault(s.file, "agent", "server", strict.Unknown, fmt.Sprintf("%s has no [server %s]", d.file, s.Agent.Server))}
	}
	v := d.service.Servers[j]
	if v.Agent != s.Agent.Listen {
		faults = append(faults, fault(s.file, "agent", "listen", strict.Invalid, fmt.Sprintf("%s says %s", d.file, v.Agent)))
	}
	if v.Domain != s.Process.Domain {
		faults = append(faults, fault(s.file, "process", "domain", strict.Invalid, fmt.Sprintf("%s says %s", d.file, v.Domain)))
	}
	return faults
}

func fault(file, section, key string, problem strict.Problem, detail string) strict.Fault {
	return strict.Fault{File: file, Section: section, Key: key, Problem: problem, Detail: detail}
}
