// Package docs holds tests that compare the documents with the code.
package docs
