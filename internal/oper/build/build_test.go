package build

import (
	"runtime/debug"
	"testing"

	"gotest.tools/v3/assert"
)

func TestVersion(t *testing.T) {
	info := &debug.BuildInfo{}
	assert.Equal(t, version(info), "devel")
	info.Settings = []debug.BuildSetting{{Key: "vcs.revision", Value: "0123456789abcdef"}, {Key: "vcs.modified", Value: "true"}}
	assert.Equal(t, version(info), "devel 0123456789ab modified")
	info.Main.Version = "v1.2.0"
	assert.Equal(t, version(info), "v1.2.0")
}
