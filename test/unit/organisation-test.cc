#include <catch2/catch.hpp>

#include "harness/service-mesh.h"

using namespace eelgrasstrack;
using namespace eelgrasstrack::test;

namespace {

/// One organisation with two keys and a mesh whose callers need one.
class organisation_fixture : public service_mesh
{
public:
  organisation_fixture() { SetOrganisations(2, { "key-1", "key-2" }); }

  void SetOrganisations(std::uint64_t aVersion, std::vector<std::string> aKeys)
  {
    traffic_configuration configuration =
      mesh_world::ConfigurationFor(aVersion, "/orders/", "orders");
    traffic_route open = configuration.routes.front();
    open.name = "open";
    open.prefix = "/open/";
    open.is_public = true;
    configuration.routes.push_back(open);
    organisation bakery;
    bakery.name = "bakery";
    bakery.keys = std::move(aKeys);
    bakery.priority = 0;
    configuration.organisations = { bakery };
    world.SetConfiguration(std::move(configuration));
  }

  int StatusWith(const header_fields& aFields,
                 const std::string& aTarget = "/orders/1")
  {
    result<buffered_response> answer =
      world.SendRequest(fronts[0], "GET", aTarget, "", aFields);
    return answer ? answer->status : 0;
  }

  static header_fields Key(const std::string& aKey)
  {
    return { { "Authorization", "Bearer " + aKey } };
  }

  /// Value of a field of the last request at the instance that ran the last
  /// one; empty if it had none.
  std::string ReceivedField(const std::string& aName)
  {
    std::string found;
    for (std::size_t host : { first, second }) {
      if (const std::string* value = FindField(world.LastFields(host), aName)) {
        found = *value;
      }
    }
    return found;
  }
};

organisation
Named(const std::string& aName, std::vector<std::string> aKeys)
{
  organisation named;
  named.name = aName;
  named.keys = std::move(aKeys);
  return named;
}

} // namespace

// Guards against UNASKED: a request runs under another organisation than that
// of its key, or the key reaches the instance.
TEST_CASE_METHOD(organisation_fixture,
                 "organisation, known key, instance gets the name and no key",
                 "[organisation]")
{
  header_fields fields = Key("key-1");
  fields.push_back({ world.Names().organisation, "another" });
  CHECK(StatusWith(fields) == 200);
  CHECK(ReceivedField(world.Names().organisation) == "bakery");
  CHECK(ReceivedField("Authorization").empty());
}

// Guards against ROUTE: a request runs whose key no configuration holds.
TEST_CASE_METHOD(organisation_fixture,
                 "organisation, unknown or missing key, is refused with 401",
                 "[organisation]")
{
  CHECK(StatusWith({}) == 401);
  CHECK(StatusWith(Key("key-3")) == 401);
  CHECK(StatusWith({ { "Authorization", "Basic key-1" } }) == 401);
  CHECK(StatusWith({ { "Authorization", "Bearer " } }) == 401);
  CHECK(StatusWith({ { "Authorization", "Bearer" } }) == 401);
  CHECK(world.RunCount(first) + world.RunCount(second) == 0);
}

// Guards against UNASKED: a caller without a key names an organisation itself.
TEST_CASE_METHOD(organisation_fixture,
                 "organisation, public route without a key, instance gets no "
                 "name",
                 "[organisation]")
{
  header_fields forged = { { world.Names().organisation, "bakery" } };
  CHECK(StatusWith(forged, "/open/1") == 200);
  CHECK(ReceivedField(world.Names().organisation).empty());
  CHECK(StatusWith(Key("key-3"), "/open/1") == 200);
  CHECK(ReceivedField("Authorization").empty());
}

// Guards against CONFIG: a key that was taken away is still accepted.
TEST_CASE_METHOD(organisation_fixture,
                 "organisation, key taken away, is refused with the new "
                 "configuration",
                 "[organisation]")
{
  CHECK(StatusWith(Key("key-2")) == 200);
  SetOrganisations(3, { "key-1" });
  CHECK(StatusWith(Key("key-2")) == 401);
  CHECK(StatusWith(Key("key-1")) == 200);
}

// Guards against DENIED: fields of callers are kept where no key is needed.
TEST_CASE_METHOD(service_mesh,
                 "organisation, none configured, fields are passed on",
                 "[organisation]")
{
  result<buffered_response> answer = world.SendRequest(
    fronts[0],
    "GET",
    "/orders/1",
    "",
    { { "Authorization", "Bearer x" }, { world.Names().organisation, "y" } });
  REQUIRE(answer);
  CHECK(answer->status == 200);
  std::size_t ran = world.RunCount(first) > 0 ? first : second;
  CHECK(FindField(world.LastFields(ran), "Authorization") != nullptr);
  CHECK(FindField(world.LastFields(ran), world.Names().organisation) !=
        nullptr);
}

TEST_CASE("organisation table, malformed entry, is refused with a reason",
          "[organisation]")
{
  CHECK_FALSE(organisation_table::Build({ Named("", { "k" }) }));
  CHECK_FALSE(organisation_table::Build({ Named("a b", { "k" }) }));
  CHECK_FALSE(organisation_table::Build({ Named("a", { "" }) }));
  CHECK_FALSE(
    organisation_table::Build({ Named("a", { "k" }), Named("b", { "k" }) }));
  CHECK_FALSE(
    organisation_table::Build({ Named("a", { "k" }), Named("a", { "l" }) }));
  organisation negative = Named("a", { "k" });
  negative.requests_per_second = -1;
  CHECK_FALSE(organisation_table::Build({ negative }));
  result<organisation_table> table =
    organisation_table::Build({ Named("a", { "k", "k" }), Named("b", {}) });
  REQUIRE(table);
  REQUIRE(table->FindByKey("k") != nullptr);
  CHECK(table->FindByKey("k")->name == "a");
  CHECK(table->FindByKey("k")->keys.empty());
  CHECK(table->FindByKey("l") == nullptr);
  CHECK(table->FindByName("b") != nullptr);
}
