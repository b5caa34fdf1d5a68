// Package pathcheck runs the built program as separate processes and checks requests end to end: from the caller through
// entry hosts to engines and services.
package pathcheck
