// Package poison identifies requests by their content, to find one that ends the
// upstreams that run it (a poison request).
package poison
