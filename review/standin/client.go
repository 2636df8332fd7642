package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// A client is one connection of a client to the node of its machine.
type client struct {
	name string
	log  *record
	nc   *net.TCPConn
	br   *bufio.Reader
	sent int
	key  string
}

func dial(log *record, name, address string) *client {
	nc, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		fail("connect to node: %v", err)
	}
	c := &client{name: name, log: log, nc: nc.(*net.TCPConn)}
	c.br = bufio.NewReader(c.nc)
	return c
}

// send sends a request and returns its id.
func (c *client) send(method, path string, deadline time.Duration, body int) (id string, err error) {
	c.sent++
	id = fmt.Sprintf("%s-%d", c.name, c.sent)
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Apricotrudder-Attempt-Id: %s\r\nX-Apricotrudder-Deadline-Ms: %d\r\n",
		method, path, host, id, deadline.Milliseconds())
	if c.key != "" {
		head += "X-Api-Key: " + c.key + "\r\n"
	}
	if body > 0 || method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", body)
	}
	c.log.add("client %s sends %s (%s %s, body %d bytes)", c.name, id, method, path, body)
	if _, err = io.WriteString(c.nc, head+"\r\n"); err != nil {
		return id, err
	}
	_, err = io.Copy(c.nc, io.LimitReader(zeros{}, int64(body)))
	return id, err
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// An answer is what a client got for one request.
type answer struct {
	status int
	size   int64
	closes bool
	err    error // the connection ended before the answer was complete
}

// read reads the answer to a request. Each read of the body is followed by a pause.
func (c *client) read(id, method string, pause time.Duration) answer {
	r, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		c.log.add("client %s gets no answer to %s: %v", c.name, id, err)
		return answer{err: err}
	}
	defer r.Body.Close()
	a := answer{status: r.StatusCode, closes: r.Close || strings.EqualFold(r.Header.Get("Connection"), "close")}
	buffer := make([]byte, 16<<10)
	for {
		n, err := r.Body.Read(buffer)
		a.size += int64(n)
		if err == io.EOF {
			break
		}
		if err != nil {
			a.err = err
			break
		}
		if pause > 0 {
			time.Sleep(pause)
		}
	}
	c.log.add("client %s gets %d to %s, stamp %q, body %d bytes, closes %v (error: %v)",
		c.name, a.status, id, r.Header.Get("X-Apricotrudder-Server-Stamp"), a.size, a.closes, a.err)
	return a
}
