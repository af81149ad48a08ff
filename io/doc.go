// Package io groups the packages that touch the network.
package io
