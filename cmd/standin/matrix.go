package main

import (
	"os"

	"mangowinch/internal/stand/matrix"
)

type matrixCommand struct{}

// Run prints docs/FAULTS.md.
func (*matrixCommand) Run() error {
	_, err := os.Stdout.WriteString(matrix.Page())
	return err
}
