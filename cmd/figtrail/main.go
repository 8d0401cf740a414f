// Command figtrail routes model requests between separate prefill and decode
// pools, and calls to plain services beside them.
package main

import (
	"context"
	"os"

	"figtrail.dev/figtrail/internal/app/figcommand"
)

func main() {
	os.Exit(figcommand.Main(context.Background(), os.Args, os.Stdout, os.Stderr))
}
