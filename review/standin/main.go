// Command standin plays the cases of the review: it starts the system's own processes
// beside a stand-in of the platform, its workers and its clients, and checks one rule.
//
//	standin CASE CASE-FOLDER REPOSITORY
//
// With TROUBLE=0 it leaves the disruption out. It exits with 1 if the rule was broken, 0
// if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

var cases = map[string]func(w *world, trouble bool) (string, error){
	"early":    early,
	"unsaid":   unsaid,
	"loop":     loop,
	"stranded": stranded,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE CASE-FOLDER REPOSITORY")
		os.Exit(2)
	}
	w, err := newWorld(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		w.close()
		os.Exit(2)
	}()
	broken, err := cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
	w.close()
	switch {
	case err != nil:
		w.record.printf("not run: %v", err)
		fmt.Println("not run:", err)
		os.Exit(2)
	case broken != "":
		w.record.printf("BROKEN: %s", broken)
		fmt.Println("BROKEN:", broken)
		os.Exit(1)
	}
	w.record.printf("the rule held")
	fmt.Println("the rule held")
}
