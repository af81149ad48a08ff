package cmds

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"snipeshed/core"
	"snipeshed/io/head"
	"snipeshed/io/oper"
	"snipeshed/io/reset"
	"snipeshed/wire"
)

// callTimeout exceeds the 10 s after which an instance stops trying to accept a ticket.
const callTimeout = 15 * time.Second

// operatorFlags returns the flags common to all commands that call an instance, and more.
func operatorFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{
			Name: "address", Usage: "operator_address of any instance", Value: "127.0.0.1:8082",
			Sources: cli.EnvVars("SNIPESHED_ADDRESS"),
		},
		&cli.StringFlag{
			Name: "key-file", Usage: "file with the operators' key, if the settings hold operator_key_sha256",
			Sources: cli.EnvVars("SNIPESHED_KEY_FILE"),
		},
	}, more...)
}

// client calls the operators' API of one instance.
type client struct {
	wire.Operator
	address string
}

func newClient(c *cli.Command) (*client, error) {
	address := c.String("address")
	if _, _, err := net.SplitHostPort(address); err != nil {
		return nil, fmt.Errorf("--address has the value %q; use an address and a port, such as 127.0.0.1:8082", address)
	}
	key := ""
	if path := c.String("key-file"); path != "" {
		b, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("the operators' key cannot be read; give the path of its file with --key-file: %w", err)
		}
		key = strings.TrimSpace(string(b))
	}
	h := &http.Client{Timeout: callTimeout, Transport: &keyTransport{newTransport(), key}}
	return &client{wire.NewOperatorProtobufClient("http://"+address, h), address}, nil
}

// newTransport returns a transport that fails in place of an answer that is malformed or was broken off.
func newTransport() http.RoundTripper {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.DialContext = reset.WrapDial(t.DialContext)
	return head.NewTransport(t)
}

// keyTransport is a transport that adds the operators' key to each request.
type keyTransport struct {
	http.RoundTripper
	key string
}

// RoundTrip sends the request with the key.
func (k *keyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if k.key != "" {
		r = r.Clone(r.Context())
		r.Header.Set("Authorization", "Bearer "+k.key)
	}
	return k.RoundTripper.RoundTrip(r)
}

// callError returns the error that the instance sent, or an error that names the instance if it did not answer.
func (c *client) callError(err error) error {
	err = oper.ErrorFrom(err)
	var typed *core.Error
	if err == nil || errors.As(err, &typed) {
		return err
	}
	var plain *url.Error
	if errors.As(err, &plain) {
		err = plain.Err // without the URL and the method
	}
	return fmt.Errorf("the instance at %s did not answer; check --address or ask another instance: %w", c.address, err)
}

// notSent reports whether a call failed before a connection was open.
func notSent(err error) bool {
	var e *net.OpError
	return errors.As(err, &e) && e.Op == "dial"
}
