#ifndef EELGRASSTRACK_BASE_NAME_TABLE_H_
#define EELGRASSTRACK_BASE_NAME_TABLE_H_

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>

namespace eelgrasstrack {

/// One value of an enumeration and its name in messages, logs and metrics.
template<class Value>
struct name_row
{
  Value value;
  std::string_view name;
};

/// The names of all values of an enumeration.
template<class Value, std::size_t kRows>
using name_table = std::array<name_row<Value>, kRows>;

/// Returns the name of a value, or "unknown" if the table has no row for it.
template<class Value, std::size_t kRows>
constexpr std::string_view
NameIn(const name_table<Value, kRows>& aTable, Value aValue)
{
  auto row = std::find_if(
    aTable.begin(), aTable.end(), [aValue](const name_row<Value>& aRow) {
      return aRow.value == aValue;
    });
  return row == aTable.end() ? std::string_view("unknown") : row->name;
}

/// Returns the value with the given name, if there is one.
template<class Value, std::size_t kRows>
constexpr std::optional<Value>
ValueIn(const name_table<Value, kRows>& aTable, std::string_view aName)
{
  auto row = std::find_if(
    aTable.begin(), aTable.end(), [aName](const name_row<Value>& aRow) {
      return aRow.name == aName;
    });
  return row == aTable.end() ? std::nullopt : std::optional<Value>(row->value);
}

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_BASE_NAME_TABLE_H_
