#include "proxy/forwarded-request.h"

#include <algorithm>

#include "base/name-table.h"

namespace eelgrasstrack {

namespace {

/// These names are sent between nodes and must not change.
constexpr name_table<run_failure_reason, 11> kReasonNames{ {
  { run_failure_reason::full, "full" },
  { run_failure_reason::leaving, "leaving" },
  { run_failure_reason::wrong_instance, "wrong_instance" },
  { run_failure_reason::unreachable, "unreachable" },
  { run_failure_reason::refused_by_instance, "refused_by_instance" },
  { run_failure_reason::broken, "broken" },
  { run_failure_reason::host_unresponsive, "silent_host" },
  { run_failure_reason::crashed, "crashed" },
  { run_failure_reason::quarantined, "quarantined" },
  { run_failure_reason::evacuated, "evacuated" },
  { run_failure_reason::upload_stalled, "upload_stalled" },
} };

bool
IsHopField(std::string_view aName)
{
  return aName.size() > kHopFieldPrefix.size() &&
         EqualsIgnoreCase(aName.substr(0, kHopFieldPrefix.size()),
                          kHopFieldPrefix);
}

} // namespace

std::string_view
NameOf(run_failure_reason aReason)
{
  return NameIn(kReasonNames, aReason);
}

std::optional<run_failure_reason>
RunFailureReasonFromName(std::string_view aName)
{
  return ValueIn(kReasonNames, aName);
}

void
AppendForwardedFields(std::string& aText, const message_head& aHead)
{
  for (const header_field& field : aHead.fields) {
    AppendField(aText, field.name, field.value);
  }
}

void
request_body_writer::Begin(std::string& aText,
                           const forwarded_request& aRequest)
{
  if (!aRequest.body_complete && !aRequest.body_length) {
    AppendField(aText, "Transfer-Encoding", "chunked");
    mFraming = body_framing::chunked;
  } else if (aRequest.body_length || !aRequest.body.empty()) {
    AppendField(aText,
                "Content-Length",
                std::to_string(aRequest.body_length.value_or(
                  static_cast<std::uint64_t>(aRequest.body.size()))));
    mFraming = body_framing::length;
  } else {
    mFraming = body_framing::none;
  }
  aText += "\r\n";
  Append(aText, aRequest.body, aRequest.body_complete);
}

void
request_body_writer::Append(std::string& aText,
                            std::string_view aBytes,
                            bool aLast) const
{
  if (mFraming != body_framing::chunked) {
    aText += aBytes;
    return;
  }
  AppendChunk(aText, aBytes);
  if (aLast) {
    aText += kLastChunk;
  }
}

void
KeepEndToEndFields(header_fields& aFields, const header_names& aNames)
{
  const std::string* connectionField = FindField(aFields, "Connection");
  std::string listed = connectionField != nullptr ? *connectionField : "";
  std::erase_if(aFields, [&](const header_field& aField) {
    return IsHopByHop(aField.name, &listed) || IsHopField(aField.name) ||
           EqualsIgnoreCase(aField.name, aNames.timeout_ms) ||
           EqualsIgnoreCase(aField.name, aNames.target_instance) ||
           EqualsIgnoreCase(aField.name, aNames.caller_service);
  });
}

} // namespace eelgrasstrack
