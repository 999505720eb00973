// Package build returns the version of the running program, from the build information that the Go
// tool embeds; no linker flags are needed.
//
// # Usage
//
//	fmt.Println(build.Version()) // v1.2.0, or devel 3f2a91c modified
package build

import "runtime/debug"

// commitDigits is the length of the abbreviated commit hash.
const commitDigits = 12

// Version returns the version of the main module, or the commit from which the program was built.
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
	text := "devel " + commit[:min(commitDigits, len(commit))]
	if settings["vcs.modified"] == "true" {
		text += " modified"
	}
	return text
}
