#ifndef EELGRASSTRACK_WIRE_STATUS_H_
#define EELGRASSTRACK_WIRE_STATUS_H_

namespace eelgrasstrack::status {

/// HTTP status codes (RFC 9110, section 15; RFC 6585).

constexpr int kOk = 200;
constexpr int kCreated = 201;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kRequestTimeout = 408;
constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kContentTooLarge = 413;
constexpr int kMisdirected = 421;
constexpr int kTooManyRequests = 429;
constexpr int kFieldsTooLarge = 431;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

constexpr bool
IsSuccess(int aStatus)
{
  return aStatus >= 200 && aStatus < 300;
}

constexpr bool
IsServerError(int aStatus)
{
  return aStatus >= 500;
}

} // namespace eelgrasstrack::status

#endif // EELGRASSTRACK_WIRE_STATUS_H_
