// Command cairndock steers requests between callers and upstreams.
package main

import (
	"os"

	"cairndock/cmd"
)

func main() {
	os.Exit(cmd.Run())
}
