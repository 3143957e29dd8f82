// Package gateway is one host of `cairndock gateway`: it joins the packages
// below it to a process that serves clients by the operators' routes, on the
// users' platform.
//
// It owns the settings, the start, the reload, the planned stop and the
// listeners. What happens to a request is in package proxy, what the host knows
// in routing and upstream, how it learns of changes in watch and fleet, and how
// it decides in balance, outlier and retry. All words of the users' platform
// are in package cairndock/platform.
package gateway
