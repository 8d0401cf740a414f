// Command figtrail is a router for LLM inference with separate prefill and decode
// pools. It also routes calls to plain services.
package main

import (
	"context"
	"os"

	"figtrail.dev/figtrail/internal/app/figcommand"
)

func main() {
	os.Exit(figcommand.Main(context.Background(), os.Args, os.Stdout, os.Stderr))
}
