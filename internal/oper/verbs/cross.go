package verbs

import (
	"fmt"
	"net/netip"
	"slices"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/conf/strict"
)

// cross checks files that are each without fault against each other.
func (a *checked) cross() (faults strict.Faults) {
	faults = append(faults, a.crossDocuments()...)
	for _, s := range a.settings {
		faults = append(faults, s.crossKeys(a.documents)...)
		if s.Agent != nil {
			faults = append(faults, s.crossAgent(a.documents)...)
		}
	}
	return faults
}

// crossDocuments reports names and addresses that two documents claim. An address
// gives the service that a packet is meant for, so one address in two documents
// would send the packets of one service to the other's servers.
func (a *checked) crossDocuments() (faults strict.Faults) {
	names := map[string]string{}
	addresses := map[netip.AddrPort]string{}
	claim := func(d document, section, key string, address netip.AddrPort) {
		if file, ok := addresses[address]; ok {
			faults = append(faults, fault(d.file, section, key, strict.Duplicate, fmt.Sprintf("%s is claimed by %s", address, file)))
		}
		addresses[address] = d.file
	}
	for _, d := range a.documents {
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

// crossKeys reports keys that documents name and the process does not have. An
// entry routes every service; an agent needs the keys of its own only.
func (s setting) crossKeys(documents []document) (faults strict.Faults) {
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

// crossAgent compares an agent with the server section it stands for.
func (s setting) crossAgent(documents []document) (faults strict.Faults) {
	i := slices.IndexFunc(documents, func(d document) bool { return d.service.Name == s.Agent.Service })
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
