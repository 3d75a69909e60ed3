// Package standin provides small in-memory stand-ins of the platform's services, model engines and plain services.
package standin
