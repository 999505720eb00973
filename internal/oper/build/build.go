// Package build says which version of the program a process runs, from what the Go
// tool writes into it; nothing has to be set when it is built.
//
// # Usage
//
//	fmt.Println(build.Version()) // v1.2.0, or devel 3f2a91c modified
package build

import "runtime/debug"

// short is how many digits of a commit people compare.
const short = 12

// Version returns the module's version, or the commit it was built from.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return version(info)
}

func version(info *debug.BuildInfo) string {
	if v := info.Main.Version; v != "" && v != "(devel)" {
		return v
	}
	settings := map[string]string{}
	for _, s := range info.Settings {
		settings[s.Key] = s.Value
	}
	commit := settings["vcs.revision"]
	if commit == "" {
		return "devel"
	}
	text := "devel " + commit[:min(short, len(commit))]
	if settings["vcs.modified"] == "true" {
		text += " modified"
	}
	return text
}
