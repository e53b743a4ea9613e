// Medlargw dispatches sub-second tasks to targets in order of precedence.
package main

import (
	"context"
	"os"

	"medlargw.example/medlargw/commander"
)

func main() {
	os.Exit(commander.New().Run(context.Background()))
}
