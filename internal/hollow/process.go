package hollow

import (
	"errors"
	"io"
	"net/rpc"
	"os"
	"os/exec"
	"time"

	"github.com/rotisserie/eris"
)

// Launch makes a worker without planes.
type Launch func() (Host, error)

// Within makes workers in this process. What they use cannot be told apart then: for tests of the outcome.
func Within() (Host, error) { return NewWorker(), nil }

// childPatience is how long a child may take to end by itself.
const childPatience = 10 * time.Second

// Children makes workers in processes of their own: the given command has to call Serve on its standard input and
// output. A child ends when its parent does.
func Children(name string, arguments ...string) Launch {
	return func() (Host, error) {
		command := exec.Command(name, arguments...)
		command.Stderr = os.Stderr
		in, err := command.StdinPipe()
		if err != nil {
			return nil, eris.Wrap(err, "hollow")
		}
		out, err := command.StdoutPipe()
		if err != nil {
			return nil, eris.Wrap(err, "hollow")
		}
		if err := command.Start(); err != nil {
			return nil, eris.Wrap(err, "hollow")
		}
		return &child{command: command, client: rpc.NewClient(duplex{out, in})}, nil
	}
}

// duplex is a connection over two pipes.
type duplex struct {
	io.ReadCloser
	in io.WriteCloser
}

func (d duplex) Write(b []byte) (int, error) { return d.in.Write(b) }

func (d duplex) Close() error { return errors.Join(d.in.Close(), d.ReadCloser.Close()) }

// child is a worker in another process. It implements Host.
type child struct {
	command *exec.Cmd
	client  *rpc.Client
}

// Nothing is the answer of calls that tell nothing.
type Nothing struct{ Done bool }

func (c *child) Start(request StartRequest) error {
	return c.client.Call("Worker.Start", request, &Nothing{})
}

func (c *child) Status() (status Status, err error) {
	err = c.client.Call("Worker.Status", Nothing{}, &status)
	return status, err
}

func (c *child) Sample() (sample Sample, err error) {
	err = c.client.Call("Worker.Sample", Nothing{}, &sample)
	return sample, err
}

func (c *child) Restart(request RestartRequest) error {
	return c.client.Call("Worker.Restart", request, &Nothing{})
}

func (c *child) Reports(request ReportsRequest) error {
	return c.client.Call("Worker.Reports", request, &Nothing{})
}

func (c *child) Sightings() (list []Sighting, err error) {
	err = c.client.Call("Worker.Sightings", Nothing{}, &list)
	return list, err
}

// Close ends the child: it is told so by the end of its input.
func (c *child) Close() error {
	_ = c.client.Close()
	ended := make(chan error, 1)
	go func() { ended <- c.command.Wait() }()
	select {
	case err := <-ended:
		return eris.Wrap(err, "hollow: a worker")
	case <-time.After(childPatience):
		_ = c.command.Process.Kill()
		return eris.Wrap(<-ended, "hollow: a worker that did not end")
	}
}

// Serve runs a worker for the parent at the other end of two pipes, until the parent closes them.
func Serve(in io.ReadCloser, out io.WriteCloser) error {
	worker := NewWorker()
	server := rpc.NewServer()
	if err := server.RegisterName("Worker", &service{worker}); err != nil {
		return eris.Wrap(err, "hollow")
	}
	server.ServeConn(duplex{in, out})
	return worker.Close()
}

// service has a worker's methods in the form that net/rpc asks for.
type service struct{ worker *Worker }

func (s *service) Start(request StartRequest, _ *Nothing) error { return s.worker.Start(request) }

func (s *service) Status(_ Nothing, status *Status) (err error) {
	*status, err = s.worker.Status()
	return err
}

func (s *service) Sample(_ Nothing, sample *Sample) (err error) {
	*sample, err = s.worker.Sample()
	return err
}

func (s *service) Restart(request RestartRequest, _ *Nothing) error { return s.worker.Restart(request) }

func (s *service) Reports(request ReportsRequest, _ *Nothing) error { return s.worker.Reports(request) }

func (s *service) Sightings(_ Nothing, list *[]Sighting) (err error) {
	*list, err = s.worker.Sightings()
	return err
}
