package claimer_test

import (
	"flag"
	"fmt"
	"os"
)

var traced = flag.Bool("steps", false, "print what the hosts of a schedule do")

func (w *world) trace(format string, args ...any) {
	if *traced {
		fmt.Fprintf(os.Stdout, "%8.3f "+format+"\n", append([]any{w.now.Sub(w.start).Seconds()}, args...)...)
	}
}
