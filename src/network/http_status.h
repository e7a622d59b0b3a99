/// @file http_status.h Status codes of HTTP answers.
#ifndef NETWORK_HTTP_STATUS_H_
#define NETWORK_HTTP_STATUS_H_

namespace fuchsiafall {

inline constexpr int kHttpOk = 200;
inline constexpr int kHttpBadRequest = 400;
inline constexpr int kHttpUnauthorized = 401;
inline constexpr int kHttpNotFound = 404;
inline constexpr int kHttpRequestTimeout = 408;
inline constexpr int kHttpGone = 410;
inline constexpr int kHttpMisdirected = 421;
inline constexpr int kHttpTooManyRequests = 429;
inline constexpr int kHttpServerError = 500;
inline constexpr int kHttpBadGateway = 502;
inline constexpr int kHttpUnavailable = 503;
inline constexpr int kHttpGatewayTimeout = 504;
inline constexpr int kMaxHttpStatus = 599;

}  // namespace fuchsiafall

#endif  // NETWORK_HTTP_STATUS_H_
