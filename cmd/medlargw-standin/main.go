// Medlargw-standin holds the stand-ins for the systems around medlargw, a load
// tool and a demo.
package main

import (
	"context"
	"os"

	"medlargw.example/medlargw/rehearser"
)

func main() {
	os.Exit(rehearser.New().Run(context.Background()))
}
