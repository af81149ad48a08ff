// Package driver brings one endpoint into its wanted state: it carries out the steps that core/order decides.
package driver
