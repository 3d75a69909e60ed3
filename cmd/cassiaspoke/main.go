// Command cassiaspoke routes requests to versions of models and to plain services.
package main

import (
	"context"
	"os"

	"github.com/cassiaspoke/cassiaspoke/internal/command"
)

func main() {
	os.Exit(command.Run(context.Background(), os.Args, os.Stdout, os.Stderr))
}
