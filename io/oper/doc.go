// Package oper serves the operators' API: tickets, which change the configuration, and the status of all instances.
package oper
