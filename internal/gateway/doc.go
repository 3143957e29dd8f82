// Package gateway is one host of `cairndock gateway`: it assembles the packages below it
// into a process that serves clients by the operators' routes, on the users' platform.
//
// It owns the settings, the start, the reload, the planned stop and the listeners.
// Package proxy handles requests. Packages routing and upstream hold the host's data,
// watch and fleet receive changes to it, and balance, outlier and retry make the
// decisions. All header names and formats of the users' platform are in package
// cairndock/platform.
package gateway
