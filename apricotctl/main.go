// Command apricotctl is the command-line tool for operators. It validates
// tables before they are published, shows the state of running nodes, and
// creates certificates. It never changes the state of a node.
//
// Usage:
//
//	apricotctl check routes.toml pools.toml [organisations.toml]
//	apricotctl status --node 10.0.0.7:7004 [--node ...] [--json]
//	apricotctl audit --node 10.0.0.7:7004 [--count N] [--json]
//	apricotctl follow --version 12 --node 10.0.0.7:7004 [--node ...]
//	apricotctl where --node 10.0.0.7:9464 --host shop.example --target /search/x [--organisation NAME] [--call] [--json]
//	apricotctl explain ID [LOG...]
//	apricotctl certificates --out DIR VM...
package main

import (
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

const exitFailure = 1

type options struct {
	Check        checkCommand        `command:"check" description:"validate tables in the same way as the nodes"`
	Status       statusCommand       `command:"status" description:"show the status of nodes"`
	Audit        auditCommand        `command:"audit" description:"show the nodes' audit trails"`
	Follow       followCommand       `command:"follow" description:"wait until a version of the tables is in force on all nodes"`
	Where        whereCommand        `command:"where" description:"show where a request would go now, and why, without sending it"`
	Explain      explainCommand      `command:"explain" description:"show the history of one request from the logs of nodes"`
	Certificates certificatesCommand `command:"certificates" description:"create a certificate authority and certificates for VMs"`
}

func main() {
	if _, err := flags.NewParser(&options{}, flags.Default).Parse(); err != nil {
		var fe *flags.Error
		if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
			return
		}
		os.Exit(exitFailure)
	}
}
