#include "store.h"

#include <sstream>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

using nlohmann::json;

std::vector<std::string>
PathOf(const std::string& aTarget)
{
  std::stringstream stream(aTarget.substr(0, aTarget.find('?')));
  std::vector<std::string> parts;
  for (std::string part; std::getline(stream, part, '/');) {
    if (!part.empty()) {
      parts.push_back(part);
    }
  }
  return parts;
}

std::string
QueryOf(const std::string& aTarget, const std::string& aName)
{
  std::size_t query = aTarget.find('?');
  if (query == std::string::npos) {
    return "";
  }
  std::stringstream stream(aTarget.substr(query + 1));
  for (std::string part; std::getline(stream, part, '&');) {
    if (part.rfind(aName + "=", 0) == 0) {
      return part.substr(aName.size() + 1);
    }
  }
  return "";
}

} // namespace

bool
store::Start(const address& aAddress)
{
  int listener = Listen(aAddress);
  if (listener < 0) {
    return false;
  }
  std::thread([this, listener] {
    while (true) {
      int accepted = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted >= 0) {
        std::thread([this, accepted] { Serve(accepted); }).detach();
      }
    }
  }).detach();
  return true;
}

void
store::Serve(int aSocket)
{
  message_reader reader(aSocket);
  message request;
  auto never = clock::now() + std::chrono::hours(1);
  while (reader.ReadHead(request, never)) {
    reader.ReadBody(request, false, never);
    reply answer = unavailable ? reply{ 503, json::object() } : Handle(request);
    SleepFor(milliseconds(answer_ms));
    std::string body = answer.body.is_null() ? "" : answer.body.dump();
    std::string text = "HTTP/1.1 " + std::to_string(answer.status) +
                       " Status\r\nContent-Type: application/json\r\n"
                       "Content-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body;
    if (!SendAll(aSocket, text)) {
      break;
    }
  }
  close(aSocket);
}

store::reply
store::Handle(const message& aRequest)
{
  std::vector<std::string> path = PathOf(aRequest.Target());
  if (path.size() < 2 || path[0] != "objects") {
    return { 404, json::object() };
  }
  if (aRequest.Method() != "GET") {
    return Write(aRequest.Method(),
                 path,
                 json::parse(aRequest.body, nullptr, false),
                 QueryOf(aRequest.Target(), "rev"));
  }
  if (path.size() > 2) {
    json object = Find(path[1], path[2]);
    return object.is_null() ? reply{ 404, json::object() }
                            : reply{ 200, object };
  }
  std::string watch = QueryOf(aRequest.Target(), "watch");
  if (watch.empty()) {
    return List(path[1]);
  }
  return Watch(
    path[1],
    std::stoull(watch),
    milliseconds(std::stoll("0" + QueryOf(aRequest.Target(), "wait_ms"))));
}

store::reply
store::List(const std::string& aKind)
{
  std::lock_guard lock(mMutex);
  json items = json::array();
  for (const auto& [name, object] : mObjects[aKind]) {
    items.push_back(object);
  }
  return { 200,
           { { "items", items }, { "has_more", false }, { "at", mRevision } } };
}

store::reply
store::Watch(const std::string& aKind,
             std::uint64_t aRevision,
             milliseconds aWait)
{
  std::unique_lock lock(mMutex);
  json events = json::array();
  auto collect = [&] {
    for (const event& each : mEvents) {
      if (each.revision > aRevision && each.kind == aKind) {
        events.push_back(
          { { "object", each.object }, { "deleted", each.deleted } });
      }
    }
    return !events.empty();
  };
  mChanged.wait_for(lock, aWait, collect);
  return { 200, { { "events", events }, { "at", mRevision } } };
}

store::reply
store::Write(const std::string& aMethod,
             const std::vector<std::string>& aPath,
             const json& aBody,
             const std::string& aRevision)
{
  std::lock_guard lock(mMutex);
  auto& objects = mObjects[aPath[1]];
  std::string name = aPath.size() > 2
                       ? aPath[2]
                       : aBody.at("metadata").at("name").get<std::string>();
  auto found = objects.find(name);
  if (aMethod == "POST") {
    if (found != objects.end()) {
      return { 409, found->second };
    }
    objects[name] = { { "metadata", { { "name", name } } },
                      { "spec", aBody.value("spec", json()) },
                      { "status", nullptr } };
    Change(aPath[1], name, false);
    return { 201, objects[name] };
  }
  if (found == objects.end()) {
    return { 404, json::object() };
  }
  std::string revision = aRevision;
  if (aBody.is_object() &&
      aBody.value("metadata", json::object()).contains("rev")) {
    revision = std::to_string(aBody["metadata"]["rev"].get<std::uint64_t>());
  }
  std::uint64_t current = found->second["metadata"]["rev"];
  if (!revision.empty() && revision != std::to_string(current)) {
    return { 409, found->second };
  }
  if (aMethod == "DELETE") {
    json removed = found->second;
    Change(aPath[1], name, true);
    objects.erase(name);
    return { 200, removed };
  }
  const char* part = aPath.size() > 3 ? "status" : "spec";
  json value = aBody.value(part, json());
  if (found->second[part] != value) {
    found->second[part] = value;
    Change(aPath[1], name, false);
  }
  return { 200, found->second };
}

void
store::Change(const std::string& aKind, const std::string& aName, bool aDeleted)
{
  json& object = mObjects[aKind][aName];
  object["metadata"]["rev"] = ++mRevision;
  if (!object["metadata"].contains("created")) {
    object["metadata"]["created"] = mRevision;
  }
  mEvents.push_back({ mRevision, aKind, object, aDeleted });
  mChanged.notify_all();
}

void
store::Put(const std::string& aKind,
           const std::string& aName,
           const json& aSpec)
{
  std::lock_guard lock(mMutex);
  json& object = mObjects[aKind][aName];
  if (object.is_null()) {
    object = { { "metadata", { { "name", aName } } }, { "status", nullptr } };
  }
  object["spec"] = aSpec;
  Change(aKind, aName, false);
}

json
store::Find(const std::string& aKind, const std::string& aName)
{
  std::lock_guard lock(mMutex);
  auto found = mObjects[aKind].find(aName);
  return found == mObjects[aKind].end() ? json() : found->second;
}

std::size_t
store::Count(const std::string& aKind)
{
  std::lock_guard lock(mMutex);
  return mObjects[aKind].size();
}

} // namespace review
