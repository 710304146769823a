// Package ratelimit enforces the rate, concurrency and per-customer limits of
// services at one entry. A limit of the fleet is split over the entries: each
// applies limit × its share of the demand, at least one request/s or one
// concurrent request. The sum over the entries exceeds the limit by at most
// one per entry.
//
// Token buckets of customers are kept in a bounded LRU cache. A customer without a
// bucket may be new or evicted, so its bucket starts with the tokens earned since
// the latest use of any evicted bucket. A customer therefore never gains tokens by
// eviction. While more customers than the bound are active within burst/rate, a
// new customer starts with less than its burst. Requests in progress are counted
// outside the cache and are exact.
//
// It imports request/attempt.
package ratelimit
