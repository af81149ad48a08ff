// Package driver reconciles one endpoint with its wanted state: it executes the steps that core/order decides.
package driver
