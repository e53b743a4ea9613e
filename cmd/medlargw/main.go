// Medlargw dispatches sub-second tasks to targets in order of priority.
package main

import (
	"context"
	"os"

	"medlargw.example/medlargw/commander"
)

func main() {
	os.Exit(commander.New().Run(context.Background()))
}
