// Medlargw-standin simulates the systems that medlargw depends on. It includes a
// load generator and a demo.
package main

import (
	"context"
	"os"

	"medlargw.example/medlargw/rehearser"
)

func main() {
	os.Exit(rehearser.New().Run(context.Background()))
}
