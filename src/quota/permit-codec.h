#ifndef EELGRASSTRACK_QUOTA_PERMIT_CODEC_H_
#define EELGRASSTRACK_QUOTA_PERMIT_CODEC_H_

#include <string>
#include <vector>

#include "base/error.h"
#include "quota/permit-bucket.h"

namespace eelgrasstrack {

/// Target of the messages on the control address.
constexpr const char* kPermitsTarget = "/v1/permits";

/// Permits that a node asks for.
struct permit_ask
{
  std::string organisation;
  unsigned count = 0;
};

/// Message of a node to a quota owner.
struct permit_request
{
  /// The asking host.
  std::string from;
  std::vector<permit_ask> asks;
};

/// The owner's answer for one organisation. Organisations that it does not own
/// are left out.
struct permit_answer
{
  std::string organisation;
  permit_grant grant;
};

std::string
EncodePermitRequest(const permit_request& aRequest);

/// Fails with `invalid_argument`.
result<permit_request>
DecodePermitRequest(const std::string& aText);

std::string
EncodePermitAnswers(const std::vector<permit_answer>& aAnswers);

/// Fails with `invalid_argument`.
result<std::vector<permit_answer>>
DecodePermitAnswers(const std::string& aText);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_QUOTA_PERMIT_CODEC_H_
