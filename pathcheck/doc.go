// Package pathcheck runs the built binary as separate processes and checks the whole path of requests.
package pathcheck
