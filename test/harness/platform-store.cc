#include "harness/platform-store.h"

#include <sstream>
#include <utility>

#include "wire/status.h"

namespace eelgrasstrack::test {

namespace {

using nlohmann::json;

buffered_response
Response(int aStatus, const json& aBody = json())
{
  buffered_response response;
  response.status = aStatus;
  response.body = aBody.is_null() ? "" : aBody.dump();
  return response;
}

/// The path segments after `/objects/`, without the query.
std::vector<std::string>
PathSegments(const std::string& aTarget)
{
  std::string path = aTarget.substr(0, aTarget.find('?'));
  std::vector<std::string> parts;
  std::stringstream stream(path.substr(std::string("/objects/").size()));
  for (std::string part; std::getline(stream, part, '/');) {
    parts.push_back(part);
  }
  return parts;
}

/// The value of a query parameter, or an empty string.
std::string
QueryParameter(const std::string& aTarget, const std::string& aName)
{
  std::size_t query = aTarget.find('?');
  return query == std::string::npos
           ? std::string()
           : QueryValue(std::string_view(aTarget).substr(query + 1), aName);
}

} // namespace

platform_store::platform_store(loop& aLoop,
                               tcp_transport& aTransport,
                               const endpoint& aAddress)
  : mLoop(aLoop)
{
  ServeAlsoAt(aTransport, aAddress);
}

void
platform_store::ServeAlsoAt(tcp_transport& aTransport, const endpoint& aAddress)
{
  result<void> opened =
    ServeAt(aTransport,
            aAddress,
            [this, address = ToString(aAddress)](buffered_request aRequest,
                                                 respond_callback aRespond) {
              Handle(address, std::move(aRequest), std::move(aRespond));
            });
  if (!opened) {
    throw std::runtime_error(opened.error().message);
  }
}

void
platform_store::SetFaultAt(const endpoint& aAddress,
                           std::optional<fault> aFault)
{
  if (aFault) {
    mFaultsByAddress[ToString(aAddress)] = *aFault;
  } else {
    mFaultsByAddress.erase(ToString(aAddress));
  }
}

platform_store::fault
platform_store::FaultAt(const std::string& aAddress) const
{
  auto found = mFaultsByAddress.find(aAddress);
  return found == mFaultsByAddress.end() ? mFault : found->second;
}

void
platform_store::Handle(const std::string& aAddress,
                       buffered_request aRequest,
                       respond_callback aRespond)
{
  ++mCalls;
  fault current = FaultAt(aAddress);
  aRespond = [this,
              respond = std::move(aRespond)](buffered_response aResponse) {
    aResponse.fields.push_back({ "Store-Era", std::to_string(mEra) });
    InsertRawTexts(aResponse.body);
    if (mResponseDelay == duration(0)) {
      respond(aResponse);
      return;
    }
    mLoop.RunAfter(mResponseDelay,
                   [respond, aResponse] { respond(aResponse); });
  };
  if (current == fault::unavailable || current == fault::rate_limited) {
    aRespond(Response(current == fault::unavailable
                        ? status::kUnavailable
                        : status::kTooManyRequests));
    return;
  }
  if (current == fault::delays_writes && aRequest.method != "GET") {
    mLateWrites.push_back(std::move(aRequest));
    return;
  }
  if (current == fault::drops_answers) {
    aRespond = [](const buffered_response&) {};
  }
  bool lists = aRequest.method == "GET" &&
               PathSegments(aRequest.target).size() == 1 &&
               QueryParameter(aRequest.target, "watch").empty();
  if (current == fault::empty_listings && lists) {
    aRespond(Response(status::kOk,
                      { { "items", json::array() },
                        { "has_more", false },
                        { "at", mRevision } }));
    return;
  }
  buffered_response response =
    aRequest.method == "GET" ? Read(aRequest, aRespond) : Write(aRequest);
  if (aRespond) {
    aRespond(response);
  }
}

void
platform_store::ExecuteLateWrites()
{
  for (const buffered_request& write :
       std::exchange(mLateWrites, std::vector<buffered_request>())) {
    Write(write);
  }
}

buffered_response
platform_store::Read(const buffered_request& aRequest,
                     respond_callback& aRespond)
{
  std::vector<std::string> parts = PathSegments(aRequest.target);
  if (parts.size() == 2) {
    json object = Find(parts[0], parts[1]);
    return object.is_null() ? Response(status::kNotFound)
                            : Response(status::kOk, object);
  }
  std::string watch = QueryParameter(aRequest.target, "watch");
  if (watch.empty()) {
    return List(parts[0], QueryParameter(aRequest.target, "after"));
  }
  std::uint64_t revision = std::stoull(watch);
  if (revision < mOldestWatchRevision || revision > mRevision) {
    return Response(status::kGone);
  }
  auto answered = std::make_shared<bool>(false);
  auto respond_once = [answered,
                       respond = aRespond](const buffered_response& aResponse) {
    if (!std::exchange(*answered, true)) {
      respond(aResponse);
    }
  };
  pending_watch pending{ parts[0], revision, respond_once };
  aRespond = nullptr;
  if (AnswerIfChanged(pending)) {
    return {};
  }
  mPendingWatches.push_back(pending);
  auto wait = std::stoll(QueryParameter(aRequest.target, "wait_ms"));
  mLoop.RunAfter(
    std::chrono::milliseconds(wait), [this, respond = pending.respond] {
      respond(Response(status::kOk,
                       { { "events", json::array() }, { "at", mRevision } }));
    });
  return {};
}

buffered_response
platform_store::List(const std::string& aKind, const std::string& aAfter)
{
  json items = json::array();
  bool has_more = false;
  for (const auto& [name, object] : mObjectsByKind[aKind]) {
    if (!aAfter.empty() && name <= aAfter) {
      continue;
    }
    if (items.size() == mPageSize) {
      has_more = true;
      break;
    }
    items.push_back(object);
  }
  buffered_response response = Response(
    status::kOk,
    { { "items", items }, { "has_more", has_more }, { "at", mRevision } });
  if (std::function<void()> task =
        has_more ? std::exchange(mAfterPage, nullptr) : nullptr) {
    task();
  }
  return response;
}

buffered_response
platform_store::Write(const buffered_request& aRequest)
{
  std::vector<std::string> parts = PathSegments(aRequest.target);
  json body = json::parse(aRequest.body, nullptr, false);
  std::string name = aRequest.method == "POST"
                       ? body.at("metadata").at("name").get<std::string>()
                       : parts.at(1);
  json object = Find(parts[0], name);
  if (aRequest.method == "POST") {
    if (!object.is_null()) {
      return Response(status::kConflict, object);
    }
    Put(parts[0], name, body.at("spec"));
    return Response(status::kCreated, Find(parts[0], name));
  }
  if (object.is_null()) {
    return Response(status::kNotFound);
  }
  if (aRequest.method == "DELETE") {
    mObjectsByKind[parts[0]].erase(name);
    return Response(status::kOk, object);
  }
  bool conditional = body.is_object() && body.at("metadata").contains("rev");
  if (conditional &&
      body.at("metadata").at("rev") != object.at("metadata").at("rev")) {
    return Response(status::kConflict, object);
  }
  bool status = parts.size() == 3;
  json& stored = mObjectsByKind[parts[0]][name];
  stored[status ? "status" : "spec"] = body.at(status ? "status" : "spec");
  RecordChange(parts[0], name);
  return Response(status::kOk, Find(parts[0], name));
}

void
platform_store::Put(const std::string& aKind,
                    const std::string& aName,
                    const json& aSpec)
{
  json& object = mObjectsByKind[aKind][aName];
  if (object.is_null()) {
    object = { { "metadata", { { "name", aName } } }, { "status", nullptr } };
  }
  object["spec"] = aSpec;
  RecordChange(aKind, aName);
}

void
platform_store::SetRawText(const std::string& aMarker, const std::string& aText)
{
  mRawTexts[aMarker] = aText;
}

void
platform_store::InsertRawTexts(std::string& aBody) const
{
  for (const auto& [marker, text] : mRawTexts) {
    std::string value = '"' + marker + '"';
    std::size_t at = aBody.find(value);
    if (at != std::string::npos) {
      aBody.replace(at, value.size(), text);
    }
  }
}

void
platform_store::Restore(const copy& aCopy)
{
  ++mEra;
  mObjectsByKind = aCopy.objects_by_kind;
  mRevision = aCopy.revision;
  for (const pending_watch& watch :
       std::exchange(mPendingWatches, std::vector<pending_watch>())) {
    watch.respond(Response(status::kUnavailable));
  }
}

json
platform_store::Find(const std::string& aKind, const std::string& aName) const
{
  auto kind = mObjectsByKind.find(aKind);
  if (kind == mObjectsByKind.end() || kind->second.count(aName) == 0) {
    return json();
  }
  return kind->second.at(aName);
}

void
platform_store::RecordChange(const std::string& aKind, const std::string& aName)
{
  mObjectsByKind[aKind][aName]["metadata"]["rev"] = ++mRevision;
  AnswerWatches();
}

void
platform_store::AnswerWatches()
{
  std::erase_if(mPendingWatches, [this](const pending_watch& aWatch) {
    return AnswerIfChanged(aWatch);
  });
}

bool
platform_store::AnswerIfChanged(const pending_watch& aWatch)
{
  json events = json::array();
  for (const auto& [name, object] : mObjectsByKind[aWatch.kind]) {
    if (object.at("metadata").at("rev") > aWatch.revision) {
      events.push_back({ { "object", object }, { "deleted", false } });
    }
  }
  if (events.empty()) {
    return false;
  }
  aWatch.respond(
    Response(status::kOk, { { "events", events }, { "at", mRevision } }));
  return true;
}

} // namespace eelgrasstrack::test
