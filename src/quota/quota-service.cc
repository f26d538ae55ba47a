#include "quota/quota-service.h"

#include <utility>

#include "base/log.h"
#include "wire/status.h"

namespace eelgrasstrack {

namespace {

/// Ownership follows a change of the directory within this time.
constexpr duration kUpdatePeriod = std::chrono::milliseconds(200);
/// Four probes a second find a partition of 30 % of the hosts within a second
/// in three of four cases and cost about 1 KB/s.
constexpr duration kProbePeriod = std::chrono::milliseconds(250);

buffered_response
Response(int aStatus, std::string aBody = "")
{
  buffered_response response;
  response.status = aStatus;
  response.body = std::move(aBody);
  return response;
}

void
AppendMetric(std::string& aText, const char* aName, std::uint64_t aValue)
{
  aText += "eelgrasstrack_quota_";
  aText += aName;
  aText += ' ';
  aText += std::to_string(aValue);
  aText += '\n';
}

} // namespace

quota_service::quota_service(loop& aLoop,
                             control_client& aClient,
                             const host_directory& aDirectory)
  : mLoop(aLoop)
  , mOwners(aDirectory)
  , mKeeper(aLoop, aDirectory, mOwners)
  , mRequests(aLoop, aClient, aDirectory, mOwners, mKeeper)
{
}

void
quota_service::Start(const host_probe& aProbe)
{
  mKeeper.SetProbe(aProbe);
  mRequests.SetProbe(aProbe);
}

void
quota_service::SetBounds(const quota_bounds& aBounds)
{
  mKeeper.SetBounds(aBounds);
  mRequests.SetBounds(aBounds);
}

void
quota_service::SetTable(const traffic_table_ptr& aTable)
{
  mKeeper.SetTable(aTable);
  mRequests.SetOrganisations(aTable->Organisations());
  if (aTable->Organisations() != nullptr && !std::exchange(mUpdating, true)) {
    mLoop.RunEvery(kUpdatePeriod, [this] { mKeeper.Update(); });
    mLoop.RunEvery(kProbePeriod, [this] { mKeeper.ProbeNext(); });
  }
}

void
quota_service::HandleRemovedHost(const std::string& aName)
{
  mOwners.RecordRemoved(aName, mLoop.Now());
}

buffered_response
quota_service::HandleMessage(const std::string& aBody)
{
  result<permit_request> request = DecodePermitRequest(aBody);
  if (!request) {
    LogEvent(log_level::warning,
             "quota_message_refused",
             { { "reason", request.error().message } });
    return Response(status::kBadRequest);
  }
  std::vector<permit_answer> answers = mKeeper.Answer(*request);
  return answers.empty() ? Response(status::kConflict)
                         : Response(status::kOk, EncodePermitAnswers(answers));
}

void
quota_service::AppendMetrics(std::string& aText) const
{
  const quota_counts& counts = mRequests.Counts();
  AppendMetric(aText, "messages_total", counts.messages);
  AppendMetric(aText, "permits_asked_total", counts.asked);
  AppendMetric(aText, "permits_granted_total", counts.granted);
  AppendMetric(aText, "permits_refused_total", counts.refused);
  AppendMetric(aText, "owner_timeouts_total", counts.owner_timeouts);
  AppendMetric(
    aText, "admitted_without_owner_total", counts.admitted_without_owner);
  AppendMetric(aText, "organisations_owned", mKeeper.OwnedCount());
}

} // namespace eelgrasstrack
