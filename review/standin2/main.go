// Command standin2 plays the cases of the second review: it starts the project's programs as separate processes
// on loopback addresses, with stand-ins for the platform's store, the model servers and the clients.
//
//	standin2 CASE ROOT FOLDER
//
// ROOT is the repository and FOLDER the case's. It exits with 1 if the case's rule was broken, with 0 if it held
// and with 2 if the case couldn't run. With TROUBLE=0 in the environment there is no disruption.
package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"
)

// scene is what all cases share.
type scene struct {
	root      string
	directory string
	network   int
	trouble   bool
	// proxied is set if the gateways reach the store over a proxy.
	proxied bool
	record  *record
	store   *platformStore
}

func (s *scene) ip(host int) string {
	return fmt.Sprintf("127.%d.0.%d", s.network, host)
}

func main() {
	cases := map[string]func(*scene) error{"lateOrders": lateOrders, "deadlyRequest": deadlyRequest, "silentChannels": silentChannels, "cutWatches": cutWatches, "rotatedKey": rotatedKey}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE ROOT FOLDER")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func play(run func(*scene) error, root, folder string) int {
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	directory, err := os.MkdirTemp("", "standin2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(directory)
	} else {
		fmt.Println("logs in", directory)
	}
	s := &scene{root: root, directory: directory, trouble: os.Getenv("TROUBLE") != "0", record: r, store: newPlatformStore()}
	if s.network, err = freeNetwork(); err != nil {
		r.printf("%v", err)
		return 2
	}
	go func() {
		time.Sleep(115 * time.Second)
		r.printf("the case took too long")
		os.Exit(2)
	}()
	if err := run(s); err != nil {
		r.printf("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if r.isBroken() {
		r.printf("result: broken")
		return 1
	}
	r.printf("result: held")
	return 0
}

// networkLock is open while the network is in use.
var networkLock net.Listener

// freeNetwork returns the second byte of loopback addresses that are not in use.
func freeNetwork() (int, error) {
	for n := 20 + os.Getpid()%200; n < 250; n++ {
		// The listener stays open, so that another case doesn't take the network.
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.254:7600", n))
		if err != nil {
			continue
		}
		networkLock = l
		return n, nil
	}
	return 0, fmt.Errorf("no free loopback network")
}
