//! Serialisation of enum values by name, for configuration files.

macro_rules! named {
    ($module:ident, $type:ty) => {
        /// Serialises enum values by their lower-case names.
        pub mod $module {
            use serde::Deserialize;
            use serde::Deserializer;
            use serde::Serializer;
            use serde::de::Error;

            /// Serialises a value as its name.
            ///
            /// # Errors
            ///
            /// Returns an error if the serializer fails.
            pub fn serialize<S: Serializer>(value: &i32, serializer: S) -> Result<S::Ok, S::Error> {
                let enum_value = <$type>::try_from(*value).unwrap_or_default();
                serializer.serialize_str(&enum_value.as_str_name().to_ascii_lowercase())
            }

            /// Deserialises a value from its name.
            ///
            /// # Errors
            ///
            /// Returns an error if the enum has no value with that name.
            pub fn deserialize<'de, D: Deserializer<'de>>(
                deserializer: D,
            ) -> Result<i32, D::Error> {
                let name = String::deserialize(deserializer)?;
                let value = <$type>::from_str_name(&name.to_ascii_uppercase());
                value
                    .map(i32::from)
                    .ok_or_else(|| D::Error::custom(format!("unknown name {name:?}")))
            }
        }
    };
}

named!(priority, crate::settings::Priority);
named!(endpoint_kind, crate::settings::EndpointKind);
named!(log_outage_policy, crate::settings::LogOutagePolicy);
