// Package abuse contains only tests. It runs one real host, `cairndock gateway` or
// `cairndock serve`, as a child process beside stand-ins of its platform, and plays clients
// that misbehave against each of its listeners: clients that send too much, too slowly, in
// too many pieces or only a part, and clients that do not read. Meanwhile ordinary clients
// send requests, and the platform's checks of the host go on. The host must neither end nor
// exceed the memory of its machine, and must serve the ordinary clients.
//
//	main_test.go       builds the program
//	process_test.go    a child process, and the watch on its memory
//	gateway_test.go    a gateway host with its store and upstreams
//	serve_test.go      a host of `cairndock serve` with its platform and upstreams
//	processor_test.go  the processor time of a host
//	callers_test.go    ordinary clients, and the checks of the platform
//	crowd_test.go      connections that misbehave in the same way
//	requests_test.go   the bytes that they send
//	abuse_test.go      the cases, each against the listeners of both programs
//
// docs/operations/soak.md describes the variables that make the runs longer.
package abuse
