package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

var cases = map[string]func(*world) bool{
	"manifest": cutManifest,
	"settings": changedSettings,
	"tenants":  lastTenant,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: review3 CASE RECORD, in the root of the repository")
		os.Exit(exitNotRun)
	}
	program, err := filepath.Abs("target/guavatrestled")
	if err == nil {
		_, err = os.Stat(program)
	}
	if err != nil {
		fmt.Println("target/guavatrestled is not built:", err)
		os.Exit(exitNotRun)
	}
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		fmt.Println(err)
		os.Exit(exitNotRun)
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(exitNotRun)
	}
	w := &world{dir: dir, program: program, trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), record: record, store: newStore()}
	time.AfterFunc(110*time.Second, func() { w.giveUp("the case took too long") })
	w.store.address = w.serve("127.0.0.1", w.store)
	broken := cases[os.Args[1]](w)
	code, verdict := exitHeld, "the rule held"
	if broken {
		code, verdict = exitBroken, "the rule was broken"
	}
	w.logf("%s (trouble: %v)", verdict, w.trouble)
	fmt.Printf("%s (trouble: %v)\n", verdict, w.trouble)
	w.close()
	os.Exit(code)
}
